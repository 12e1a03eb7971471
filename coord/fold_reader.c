/*
 * fold_reader.c - selects the instances that read the log for a data centre
 */
#include "common/log.h"
#include "fold_private.h"

#define READER_COUNT 2u
/* Failed reads in a row after which the log counts as refusing this instance:
 * about 0.7 s with the backoff. */
#define REFUSED_FAILURES 3u
/* How long a refused instance stops reading. */
#define REFUSED_USEC (10 * USEC_PER_SEC)

uint64_t fold_reader_key(void)
{
	return id_of("log-config");
}

static uint64_t refused_key(uint64_t id)
{
	return id_mix(id_of("log-refuses"), id);
}

static bool is_refused(const struct fold *f, uint64_t id)
{
	size_t size;
	const unsigned char *value =
		membership_fact_find(f->membership, refused_key(id), &size);

	return value && size == 1 && *value;
}

static void refused_set(struct fold *f, bool refused)
{
	const struct member *self = membership_self(f->membership);
	unsigned char value = refused;

	f->refused = refused;
	f->refused_at = clock_now(f->clock);
	membership_fact_set(f->membership, refused_key(self->id),
			    (uint64_t)clock_unix(f->clock), &value, 1);
	log_event(LOG_NOTICE, refused ? "log_refuses" : "log_tried_again",
		  LOG_D("failures", log_tail_failures(f->tail)));
}

void fold_refused_update(struct fold *f)
{
	bool fails = log_tail_running(f->tail) &&
		     log_tail_failures(f->tail) >= REFUSED_FAILURES;

	if (!f->refused && fails)
		refused_set(f, true);
	else if (f->refused &&
		 clock_now(f->clock) - f->refused_at >= REFUSED_USEC)
		refused_set(f, false);
}

/* The first READER_COUNT by rank that the log does not refuse; each refused one
 * is replaced by the next in rank. When the log refuses all, the first
 * READER_COUNT keep trying. */
bool fold_is_reader(const struct fold *f)
{
	const struct member *self = membership_self(f->membership);
	uint32_t left = READER_COUNT;
	uint32_t own_rank = UINT32_MAX;
	bool all_refused = true;

	for (uint32_t rank = 0; left > 0; rank++) {
		uint64_t id = membership_home(f->membership, self->data_centre,
					      fold_reader_key(), rank);
		bool refused = is_refused(f, id);

		if (!id)
			break;
		if (id == self->id && !refused)
			return true;
		if (id == self->id)
			own_rank = rank;
		all_refused = all_refused && refused;
		left += refused ? 1 : -1;
	}
	return all_refused && own_rank < READER_COUNT;
}
