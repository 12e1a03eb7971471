#include "sched/patience.h"

#include <glib.h>

bool patience_may_ask(struct patience *patience, int64_t now)
{
	if (patience->silent_until == 0)
		return true;
	if (now < patience->silent_until)
		return false;
	patience->silent_until = now + PATIENCE_SILENT_USEC;
	return true;
}

int64_t patience_longest(int64_t target_usec)
{
	return MIN(PATIENCE_MAX_USEC, target_usec / 2);
}

int64_t patience_first(const struct patience *patience, int64_t target_usec)
{
	return MIN(PATIENCE_USEC + patience->queued_usec,
		   patience_longest(target_usec));
}

void patience_answered(struct patience *patience, int64_t queued_usec)
{
	patience->silent_until = 0;
	if (queued_usec >= 0)
		patience->queued_usec = queued_usec;
}

void patience_silent(struct patience *patience, int64_t now)
{
	patience->silent_until = now + PATIENCE_SILENT_USEC;
}
