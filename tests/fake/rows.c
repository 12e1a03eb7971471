#include "rows.h"

void rows_add(const char *folder, const void *rows, size_t count, size_t size,
	      GTestDataFunc fn)
{
	for (size_t i = 0; i < count; i++) {
		const void *row = (const char *)rows + i * size;
		const char *name = *(const char *const *)row;
		g_autofree char *path = g_strconcat(folder, name, NULL);

		g_test_add_data_func(path, row, fn);
	}
}
