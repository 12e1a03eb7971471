#include "ctl/exit_code.h"

#include <stddef.h>

static const struct {
	enum result_code result;
	enum exit_code exit;
} codes[] = {
	{RESULT_OK, EXIT_CODE_OK},
	{RESULT_BAD_SETTING, EXIT_CODE_USAGE},
	{RESULT_BAD_CONFIG, EXIT_CODE_BAD_CONFIG},
	{RESULT_STALE_REVISION, EXIT_CODE_STALE_REVISION},
	{RESULT_IO, EXIT_CODE_IO},
	{RESULT_USAGE, EXIT_CODE_USAGE},
	{RESULT_NO_CONFIG, EXIT_CODE_NO_CONFIG},
	{RESULT_TOO_LARGE, EXIT_CODE_BAD_CONFIG},
	{RESULT_LOG_DOWN, EXIT_CODE_LOG_DOWN},
	{RESULT_LOG_UNKNOWN, EXIT_CODE_UNKNOWN},
	{RESULT_DEFECT, EXIT_CODE_DEFECT},
};

enum exit_code exit_code_of(enum result_code code)
{
	for (size_t i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
		if (codes[i].result == code)
			return codes[i].exit;
	}
	return EXIT_CODE_REFUSED;
}
