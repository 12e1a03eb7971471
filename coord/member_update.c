#include "member_private.h"

/* Pushes between heartbeats: a few at once, then one a second. */
#define PUSH_TOKENS 8.0
#define PUSH_TARGETS 2

static struct peer *news_peer(const struct news *news)
{
	return (struct peer *)news;
}

static struct fact *news_fact(const struct news *news)
{
	return (struct fact *)news;
}

static struct centre *news_centre(const struct news *news)
{
	return (struct centre *)news;
}

/* Each of n instances passes an item on this often: enough for all to hear
 * it with high probability, and bounded. */
static uint32_t news_limit(struct membership *m)
{
	uint32_t members = ring_members(m)->len;

	return m->settings.fanout * (g_bit_storage(members) + 1);
}

static void push_arm(struct membership *m)
{
	int64_t now = clock_now(m->clock);
	double refill = (double)(now - m->push_filled) / USEC_PER_SEC;

	m->push_filled = now;
	m->push_tokens = MIN(m->push_tokens + refill, PUSH_TOKENS);
	if (m->push_tokens < 1 || timer_running(&m->push))
		return;
	m->push_tokens -= 1;
	timer_start(&m->push, PUSH_DELAY_USEC);
}

void news_add(struct membership *m, struct news *news)
{
	news->left = news_limit(m);
	news->link.data = news;
	if (news->linked)
		g_queue_unlink(&m->news, &news->link);
	g_queue_push_head_link(&m->news, &news->link);
	news->linked = true;
	push_arm(m);
}

void news_remove(struct membership *m, struct news *news)
{
	if (!news->linked)
		return;
	g_queue_unlink(&m->news, &news->link);
	news->linked = false;
}

static bool news_put(struct membership *m, const struct news *news,
		     const struct peer *to)
{
	const struct peer *p;

	switch (news->kind) {
	case NEWS_MEMBER:
		p = news_peer(news);
		if (p != to)
			pack_row(m, p, p->named);
		return true;
	case NEWS_FACT:
		pack_fact(m, news_fact(news));
		return true;
	case NEWS_REACH:
		if (!peer_local(m, to))
			return false;
		pack_reach(m, news_centre(news));
		return true;
	}
	return false;
}

static void news_take(struct membership *m, const struct peer *to, bool *any)
{
	guint count = m->news.length;
	GList *link = m->news.head;

	while (count-- && wire_size(m) < NEWS_BYTES_MAX) {
		struct news *news = link->data;

		link = link->next;
		if (!news_put(m, news, to))
			continue;
		*any = true;
		g_queue_unlink(&m->news, &news->link);
		news->linked = --news->left > 0;
		if (news->linked)
			g_queue_push_tail_link(&m->news, &news->link);
	}
}

void news_pack(struct membership *m, const struct peer *to)
{
	bool any = false;

	wire_begin(m);
	if (to->confirmed && (to->level & LEVEL_SUSPECT))
		pack_row(m, to, false);
	news_take(m, to, &any);
}

void news_receive(struct membership *m, const struct peer *from,
		  const struct wire *wire)
{
	/* Answers to a sync come many at a time and are had by others too. */
	bool news = wire->item_count < 8;
	struct item item;

	g_array_set_size(m->unknown, 0);
	for (uint32_t i = 0; i < wire->item_count; i++) {
		if (!item_decode(&wire->items[i], &item)) {
			m->stats.malformed++;
			continue;
		}
		if (item.kind <= ITEM_NAMED && !row_apply(m, &item, news))
			g_array_append_val(m->unknown, item.id);
		else if (item.kind == ITEM_FACT)
			fact_apply(m, &item, news);
		else if (item.kind == ITEM_REACH && peer_local(m, from))
			reach_apply(m, &item);
	}
	if (!m->unknown->len)
		return;
	wire_begin(m);
	for (guint i = 0; i < m->unknown->len; i++)
		pack_id(m, g_array_index(m->unknown, uint64_t, i));
	wire_send(m, from->view.id, WIRE_WANT, 0, 0, 0);
}

void news_push(struct timer *timer, void *ctx)
{
	struct membership *m = ctx;
	struct peer *first = NULL;

	if (!m->news.length)
		return;
	digest_push(m);
	for (int i = 0; i < PUSH_TARGETS && m->news.length; i++) {
		struct peer *to = ring_random(m, first);

		if (!to)
			return;
		first = to;
		news_pack(m, to);
		wire_send(m, to->view.id, WIRE_BEAT, 0, 0, 0);
	}
}
