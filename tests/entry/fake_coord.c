#include "fake_coord.h"

#include "coord/ledger.h"
#include "coord/member.h"

#define SELF 7

struct fake_coord fake_coord;

void fake_coord_setup(void)
{
	fake_coord = (struct fake_coord){
		.events = g_string_new(NULL),
		.value = g_byte_array_new(),
	};
}

void fake_coord_teardown(void)
{
	g_string_free(fake_coord.events, TRUE);
	g_byte_array_unref(fake_coord.value);
}

const struct member *membership_self(const struct membership *membership)
{
	static const struct member self = {.id = SELF, .name = "self"};

	return &self;
}

uint64_t membership_home(const struct membership *membership,
			 const char *data_centre, uint64_t key, uint32_t rank)
{
	return key == fake_coord.rank && rank == 0 ? SELF : SELF + 1;
}

void membership_fact_set(struct membership *membership, uint64_t key,
			 uint64_t version, const void *value, size_t size)
{
	fake_coord.key = key;
	fake_coord.version = version;
	g_byte_array_set_size(fake_coord.value, 0);
	g_byte_array_append(fake_coord.value, value, (guint)size);
	g_string_append_printf(fake_coord.events, "fact %u\n",
			       (unsigned)version);
}

bool ledger_is_home(const struct ledger *ledger, uint64_t runner)
{
	return runner == fake_coord.home;
}

void ledger_report(struct ledger *ledger, const struct ledger_report *report)
{
	g_string_append_printf(
		fake_coord.events,
		"report%s%s used=%u running=%u waiting=%u queue=%u rate=%.1f "
		"age=%d\n",
		report->reachable ? "" : " unreachable",
		report->leaving ? " leaving" : "", report->pieces_used,
		report->running, report->waiting,
		(unsigned)report->queue_tokens, report->tokens_per_s,
		(int)(report->age / USEC_PER_MSEC));
}

void ledger_streams(struct ledger *ledger, uint64_t runner,
		    const struct ledger_stream *streams, size_t count)
{
	g_string_append_printf(fake_coord.events, "streams %zu", count);
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(fake_coord.events, " %s/%x/%x/%x/%u/%u",
				       streams[i].stream,
				       (unsigned)streams[i].owner.instance,
				       (unsigned)streams[i].owner.incarnation,
				       (unsigned)streams[i].request,
				       streams[i].attempt, streams[i].pieces);
	g_string_append_c(fake_coord.events, '\n');
}

void ledger_cache_event(struct ledger *ledger, uint64_t runner,
			const uint64_t *blocks, size_t count, bool stored)
{
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(fake_coord.events, "%s %x\n",
				       stored ? "stored" : "evicted",
				       (unsigned)blocks[i]);
}
