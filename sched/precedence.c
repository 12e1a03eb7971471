#include "sched/precedence.h"

#include <glib.h>
#include <string.h>

/* A rank that was not seen for this long holds no request that could yield. */
#define SEEN_USEC INT64_C(1000000)
/* Chains of claims by server, and by instance. */
#define CHAINS 256u
#define NONE UINT16_MAX
/* Claims per second and at once; together PRECEDENCE_SENDS_MAX in any second.
 */
#define SENDS_PER_SEC 32.0
#define SENDS_BURST 8.0
#define NEVER (INT64_MIN / 2)

struct entry {
	struct room_claim claim;
	uint64_t from;
	int64_t first_at; /* when the claim was received first */
	int64_t until;
	uint16_t next;	    /* in the chain of the server, or unused */
	uint16_t next_from; /* in the chain of the instance */
	bool used;
};

struct precedence {
	struct entry entries[PRECEDENCE_CLAIMS_MAX];
	uint16_t chains[CHAINS];
	uint16_t sources[CHAINS];
	uint16_t unused;
	uint32_t used;
	int64_t pruned_at;
	int64_t seen_at[PRECEDENCE_RANKS];
	double sends; /* tokens of the bucket */
	int64_t sends_at;
	uint64_t dropped;
};

struct precedence *precedence_create(void)
{
	struct precedence *precedence = g_new0(struct precedence, 1);

	memset(precedence->chains, 0xff, sizeof(precedence->chains));
	memset(precedence->sources, 0xff, sizeof(precedence->sources));
	for (uint32_t i = 0; i < PRECEDENCE_CLAIMS_MAX; i++)
		precedence->entries[i].next = i + 1 < PRECEDENCE_CLAIMS_MAX
						      ? (uint16_t)(i + 1)
						      : NONE;
	for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++)
		precedence->seen_at[i] = NEVER;
	precedence->sends = SENDS_BURST;
	precedence->pruned_at = NEVER;
	return precedence;
}

void precedence_destroy(struct precedence *precedence)
{
	g_free(precedence);
}

static uint16_t *chain_of(struct precedence *precedence, uint64_t server)
{
	return &precedence->chains[server % CHAINS];
}

static uint16_t *source_of(struct precedence *precedence, uint64_t from)
{
	return &precedence->sources[from % CHAINS];
}

static void entry_remove(struct precedence *precedence, struct entry *entry)
{
	uint16_t at = (uint16_t)(entry - precedence->entries);
	uint16_t *link = chain_of(precedence, entry->claim.server);

	while (*link != at)
		link = &precedence->entries[*link].next;
	*link = entry->next;
	link = source_of(precedence, entry->from);
	while (*link != at)
		link = &precedence->entries[*link].next_from;
	*link = entry->next_from;
	entry->used = false;
	entry->next = precedence->unused;
	precedence->unused = at;
	precedence->used--;
}

static void prune(struct precedence *precedence, int64_t now)
{
	if (precedence->used == 0 ||
	    (precedence->used < PRECEDENCE_CLAIMS_MAX &&
	     now - precedence->pruned_at < PRECEDENCE_RENEW_USEC))
		return;
	precedence->pruned_at = now;
	for (uint32_t i = 0; i < PRECEDENCE_CLAIMS_MAX; i++) {
		struct entry *entry = &precedence->entries[i];

		if (entry->used && now >= entry->until)
			entry_remove(precedence, entry);
	}
}

static struct entry *entry_find(struct precedence *precedence,
				const struct room_claim *claim, uint64_t from)
{
	uint16_t at = *chain_of(precedence, claim->server);

	for (; at != NONE; at = precedence->entries[at].next) {
		struct entry *entry = &precedence->entries[at];

		if (entry->from == from &&
		    entry->claim.server == claim->server &&
		    entry->claim.request == claim->request)
			return entry;
	}
	return NULL;
}

/* A flood of claims of one instance must not displace those of others, so it
 * replaces its own. */
static struct entry *entry_place(struct precedence *precedence, uint64_t from)
{
	uint16_t at = *source_of(precedence, from);
	struct entry *oldest = NULL;
	uint32_t count = 0;

	for (; at != NONE; at = precedence->entries[at].next_from) {
		struct entry *entry = &precedence->entries[at];

		if (entry->from != from)
			continue;
		count++;
		if (!oldest || entry->until < oldest->until)
			oldest = entry;
	}
	if (count >= PRECEDENCE_SOURCE_MAX)
		entry_remove(precedence, oldest);
	if (precedence->unused == NONE)
		return NULL;
	at = precedence->unused;
	precedence->unused = precedence->entries[at].next;
	return &precedence->entries[at];
}

void precedence_claim(struct precedence *precedence, int64_t now,
		      const struct room_claim *claim, uint64_t from)
{
	uint16_t *chain = chain_of(precedence, claim->server);
	uint16_t *source = source_of(precedence, from);
	int64_t first_at = now;
	struct entry *entry;

	prune(precedence, now);
	entry = entry_find(precedence, claim, from);
	if (entry) {
		first_at = now < entry->until ? entry->first_at : now;
		entry_remove(precedence, entry);
	}
	if (claim->usec <= 0 || claim->rank >= PRECEDENCE_RANKS)
		return;
	entry = entry_place(precedence, from);
	if (!entry) {
		precedence->dropped++;
		return;
	}
	*entry = (struct entry){
		.claim = *claim,
		.from = from,
		.first_at = first_at,
		.until = now + MIN(claim->usec, PRECEDENCE_CLAIM_USEC),
		.next = *chain,
		.next_from = *source,
		.used = true,
	};
	*chain = (uint16_t)(entry - precedence->entries);
	*source = *chain;
	precedence->used++;
}

static uint32_t tokens_add(uint32_t sum, uint32_t tokens)
{
	return tokens > UINT32_MAX - sum ? UINT32_MAX : sum + tokens;
}

struct precedence_room precedence_claimed(const struct precedence *precedence,
					  int64_t now, uint64_t server,
					  uint32_t rank, bool due)
{
	struct precedence_room room = {0, 0};
	uint16_t at = precedence->chains[server % CHAINS];

	for (; at != NONE; at = precedence->entries[at].next) {
		const struct entry *entry = &precedence->entries[at];

		if (entry->claim.server != server || now >= entry->until ||
		    entry->claim.rank >= rank ||
		    (due && now - entry->first_at > PRECEDENCE_CLAIM_USEC))
			continue;
		room.tokens = tokens_add(room.tokens, entry->claim.tokens);
		room.requests++;
	}
	return room;
}

uint32_t precedence_contended(const struct precedence *precedence, int64_t now,
			      uint64_t server, uint32_t rank, uint64_t request)
{
	uint16_t at = precedence->chains[server % CHAINS];
	uint32_t tokens = 0;

	for (; at != NONE; at = precedence->entries[at].next) {
		const struct entry *entry = &precedence->entries[at];

		if (entry->claim.server == server && now < entry->until &&
		    entry->claim.rank <= rank &&
		    !(entry->from == PRECEDENCE_SELF &&
		      entry->claim.request == request))
			tokens = tokens_add(tokens, entry->claim.tokens);
	}
	return tokens;
}

uint32_t precedence_servers(uint32_t tokens, uint64_t memory_tokens)
{
	return (uint64_t)tokens * PRECEDENCE_LARGE_PART > memory_tokens
		       ? PRECEDENCE_SERVERS_MAX
		       : PRECEDENCE_SERVERS;
}

void precedence_seen(struct precedence *precedence, int64_t now, uint32_t rank)
{
	precedence->seen_at[MIN(rank, PRECEDENCE_RANKS - 1)] = now;
}

bool precedence_useful(const struct precedence *precedence, int64_t now,
		       uint32_t rank)
{
	for (uint32_t i = rank + 1; i < PRECEDENCE_RANKS; i++)
		if (now - precedence->seen_at[i] < SEEN_USEC)
			return true;
	return false;
}

bool precedence_send(struct precedence *precedence, int64_t now)
{
	double added = (double)(now - precedence->sends_at) * SENDS_PER_SEC /
		       1000000.0;

	precedence->sends = MIN(precedence->sends + added, SENDS_BURST);
	precedence->sends_at = now;
	if (precedence->sends < 1.0)
		return false;
	precedence->sends -= 1.0;
	return true;
}

uint32_t precedence_count(const struct precedence *precedence, int64_t now)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < PRECEDENCE_CLAIMS_MAX; i++)
		count += precedence->entries[i].used &&
			 now < precedence->entries[i].until;
	return count;
}

uint64_t precedence_dropped(const struct precedence *precedence)
{
	return precedence->dropped;
}

static int level_compare(const struct precedence_level *one,
			 const struct precedence_level *other)
{
	if (one->urgency != other->urgency)
		return one->urgency < other->urgency ? -1 : 1;
	return (one->priority > other->priority) -
	       (one->priority < other->priority);
}

void precedence_level_add(struct precedence_levels *levels, uint32_t urgency,
			  uint32_t priority)
{
	const struct precedence_level level = {urgency, priority};
	uint32_t at = 0;

	while (at < levels->count &&
	       level_compare(&levels->pairs[at], &level) < 0)
		at++;
	if (at == PRECEDENCE_RANKS ||
	    (at < levels->count &&
	     level_compare(&levels->pairs[at], &level) == 0))
		return;
	levels->count = MIN(levels->count + 1, PRECEDENCE_RANKS);
	for (uint32_t i = levels->count - 1; i > at; i--)
		levels->pairs[i] = levels->pairs[i - 1];
	levels->pairs[at] = level;
}

uint32_t precedence_rank(const struct precedence_levels *levels,
			 uint32_t urgency, uint32_t priority)
{
	const struct precedence_level level = {urgency, priority};
	uint32_t rank = 0;

	if (!levels->by_pair)
		return MIN(priority, PRECEDENCE_RANKS - 1);
	while (rank < levels->count &&
	       level_compare(&levels->pairs[rank], &level) < 0)
		rank++;
	return MIN(rank, PRECEDENCE_RANKS - 1);
}
