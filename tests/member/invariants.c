#include "invariants.h"

#include <string.h>

#include "common/log.h"

static char *view_wrong(const struct node *node, const struct node *other)
{
	const struct member *m = node_view(node, other);
	enum member_state want =
		other->up ? other->leaving ? MEMBER_LEAVING : MEMBER_ALIVE
			  : MEMBER_DEAD;

	if (!m)
		return other->up ? g_strdup_printf("%s does not know %s",
						   node->self.name,
						   other->self.name)
				 : NULL;
	if (m->state != want)
		return g_strdup_printf("%s sees %s in state %d, not %d",
				       node->self.name, other->self.name,
				       m->state, want);
	if (other->up && m->incarnation != other->self.incarnation)
		return g_strdup_printf("%s sees %s at another incarnation",
				       node->self.name, other->self.name);
	return NULL;
}

static char *homes_differ(const struct node *a, const struct node *b)
{
	const struct world *w = a->world;

	for (uint64_t key = 0; key < 8; key++) {
		for (uint32_t rank = 0; rank < 3; rank++) {
			const struct node *in =
				w->nodes[(key * 5 + rank) % (uint64_t)w->count];
			const char *centre = in->self.data_centre;

			if (membership_home(a->membership, centre, key, rank) !=
			    membership_home(b->membership, centre, key, rank))
				return g_strdup_printf(
					"%s and %s differ on a home",
					a->self.name, b->self.name);
		}
	}
	return NULL;
}

static char *facts_outdated(const struct node *node,
			    const struct expected_facts *expected_facts)
{
	for (int i = 0; expected_facts && i < FACTS; i++) {
		if (node->facts[i] != expected_facts->facts[i])
			return g_strdup_printf("%s has a wrong version of "
					       "fact %d",
					       node->self.name, i);
	}
	return NULL;
}

static char *node_settled(struct world *w, const struct node *node,
			  const struct expected_facts *expected_facts)
{
	char *problem = facts_outdated(node, expected_facts);

	for (int i = 0; i < w->count && !problem; i++) {
		if (w->nodes[i] != node)
			problem = view_wrong(node, w->nodes[i]);
	}
	if (!problem && !membership_certain(node->membership))
		problem = g_strdup_printf("%s is still uncertain",
					  node->self.name);
	return problem;
}

char *members_settled(struct world *w,
		      const struct expected_facts *expected_facts)
{
	const struct node *last = NULL;
	char *problem = NULL;

	for (int i = 0; i < w->count && !problem; i++) {
		const struct node *node = w->nodes[i];

		if (!node->up)
			continue;
		problem = node_settled(w, node, expected_facts);
		/* Equality is transitive, so neighbours are compared. */
		if (!problem && last)
			problem = homes_differ(last, node);
		last = node;
	}
	return problem;
}

char *incarnations_valid(struct world *w)
{
	for (int i = 0; i < w->count; i++) {
		const struct node *node = w->nodes[i];

		for (int j = 0; node->up && j < w->count; j++) {
			const struct node *other = w->nodes[j];
			const struct member *m = node_view(node, other);

			if (m && m->incarnation > other->self.incarnation)
				return g_strdup_printf(
					"%s shows an incarnation that %s "
					"never had",
					node->self.name, other->self.name);
		}
	}
	return NULL;
}

#define MESSAGES_BURST 1000u
#define MESSAGES_PER_S 60u

char *traffic_bounded(struct world *w)
{
	int64_t seconds = clock_now(w->clock) / USEC_PER_SEC;

	for (int i = 0; i < w->count; i++) {
		const struct node *node = w->nodes[i];

		if (node->messages >
		    MESSAGES_BURST + MESSAGES_PER_S * (uint64_t)seconds)
			return g_strdup_printf("%s sent %" G_GUINT64_FORMAT
					       " messages",
					       node->self.name, node->messages);
	}
	return NULL;
}

struct watch {
	struct checker *checker;
	uint64_t revision;
};

static void violation(struct checker *c, const struct node *node,
		      const char *what, uint64_t number)
{
	if (!c->problem)
		c->problem = g_strdup_printf("%s: %s %" G_GUINT64_FORMAT,
					     node->self.name, what, number);
}

static bool fold_check(void *ctx, const void *data, size_t size,
		       struct error *err)
{
	if (size >= 3 && !memcmp(data, "bad", 3))
		return error_set(err, RESULT_BAD_CONFIG, "starts with bad");
	return true;
}

static void fold_changed(void *ctx, uint64_t revision, const void *data,
			 size_t size)
{
	struct node *node = ctx;
	struct watch *watch = node->watch;

	if (revision <= watch->revision)
		violation(watch->checker, node, "decreased its revision to",
			  revision);
	if (fold_check(NULL, data, size, NULL) == false)
		violation(watch->checker, node, "put in force a bad file at",
			  revision);
	watch->revision = revision;
	watch->checker->changes++;
}

static void fold_audited(void *ctx, const struct fold_audit *audit)
{
	struct node *node = ctx;
	struct watch *watch = node->watch;
	struct checker *c = watch->checker;
	struct fold_audit *known =
		g_hash_table_lookup(c->verdicts, &audit->offset);

	if (known &&
	    (known->code != audit->code || known->base != audit->base ||
	     known->content_hash != audit->content_hash ||
	     strcmp(known->author, audit->author) != 0))
		violation(c, node,
			  "has an audit unlike another node's for offset",
			  audit->offset);
	if (known)
		return;
	known = g_memdup2(audit, sizeof(*audit));
	g_hash_table_insert(c->verdicts, &known->offset, known);
}

struct checker *checker_create(struct world *w)
{
	struct checker *c = g_new0(struct checker, 1);

	c->world = w;
	c->verdicts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	c->attempts = g_ptr_array_new_with_free_func(g_free);
	return c;
}

void checker_destroy(struct checker *c)
{
	g_hash_table_destroy(c->verdicts);
	g_ptr_array_free(c->attempts, TRUE);
	g_free(c->problem);
	g_free(c);
}

void checker_start(struct checker *c, struct node *node)
{
	static const struct fold_ops ops = {
		.check = fold_check,
		.changed = fold_changed,
		.audit = fold_audited,
	};
	const struct log_store store = fake_log_store(&node->client);
	const struct transport transport = node_transport(node);
	struct watch *watch = g_new0(struct watch, 1);

	watch->checker = c;
	node->watch = watch;
	node->fold = fold_create(node->clock, node->membership, &store,
				 &transport, &ops, node);
}

void checker_stop(struct node *node)
{
	struct watch *watch = node->watch;
	const GPtrArray *attempts = watch->checker->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		struct attempt *attempt = attempts->pdata[i];

		if (attempt->node_index == node->index && !attempt->answered)
			attempt->dropped = true;
	}
	fold_destroy(node->fold);
	node->fold = NULL;
	g_free(node->watch);
	node->watch = NULL;
}

static void attempt_done(void *ctx, enum result_code code, uint64_t revision,
			 const char *reason)
{
	struct attempt *attempt = ctx;

	g_assert_false(attempt->answered);
	attempt->answered = true;
	attempt->code = code;
	attempt->revision = revision;
}

struct attempt *checker_apply(struct checker *c, struct node *node,
			      uint64_t base, const char *content,
			      int64_t timeout)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->base = base;
	attempt->node_index = node->index;
	attempt->deadline = clock_now(c->world->clock) + timeout;
	g_strlcpy(attempt->content, content, sizeof(attempt->content));
	g_ptr_array_add(c->attempts, attempt);
	fold_apply(node->fold, base, node->self.name, content, strlen(content),
		   timeout, attempt_done, attempt);
	return attempt;
}

static gint audit_order(gconstpointer a, gconstpointer b)
{
	const struct fold_audit *x = a;
	const struct fold_audit *y = b;

	return x->offset < y->offset ? -1 : x->offset > y->offset;
}

/* Each accepted file is based on the one accepted before it: none is lost, and
 * of the files based on one revision exactly one is accepted. */
static char *chain_broken(struct checker *c)
{
	GList *all =
		g_list_sort(g_hash_table_get_values(c->verdicts), audit_order);
	uint64_t last = REVISION_NONE;
	char *problem = NULL;

	for (GList *l = all; l && !problem; l = l->next) {
		const struct fold_audit *audit = l->data;

		if (audit->code != RESULT_OK)
			continue;
		if (audit->base != last)
			problem = g_strdup_printf(
				"%" G_GUINT64_FORMAT " accepted on "
				"%" G_GUINT64_FORMAT
				" after %" G_GUINT64_FORMAT,
				audit->offset, audit->base, last);
		last = audit->offset;
	}
	g_list_free(all);
	return problem;
}

static const struct fold_audit *find_accepted(struct checker *c,
					      const struct attempt *attempt)
{
	uint64_t hash = id_hash(attempt->content, strlen(attempt->content));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->verdicts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fold_audit *audit = value;

		if (audit->code == RESULT_OK && audit->content_hash == hash)
			return audit;
	}
	return NULL;
}

static char *attempt_wrong(struct checker *c, const struct attempt *attempt)
{
	const struct fold_audit *audit = find_accepted(c, attempt);
	bool refused = attempt->answered && attempt->code != RESULT_OK &&
		       attempt->code != RESULT_LOG_UNKNOWN;

	if (audit && refused)
		return g_strdup_printf("%s was answered %s and accepted",
				       attempt->content,
				       result_label(attempt->code));
	if (!attempt->answered || attempt->code != RESULT_OK)
		return NULL;
	if (!audit)
		return g_strdup_printf("%s was answered ok and not accepted",
				       attempt->content);
	if (attempt->revision < audit->offset)
		return g_strdup_printf("%s was answered before it was in force",
				       attempt->content);
	return NULL;
}

char *checker_check(struct checker *c)
{
	char *problem = c->problem ? g_strdup(c->problem) : chain_broken(c);

	for (guint i = 0; i < c->attempts->len && !problem; i++)
		problem = attempt_wrong(c, c->attempts->pdata[i]);
	return problem;
}

static uint64_t last_accepted(struct checker *c)
{
	uint64_t last = REVISION_NONE;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->verdicts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fold_audit *audit = value;

		if (audit->code == RESULT_OK)
			last = MAX(last, audit->offset);
	}
	return last;
}

static char *histories_differ(const struct node *a, const struct node *b)
{
	const struct fold_audit *x;
	const struct fold_audit *y;
	size_t n = fold_history(a->fold, &x);
	size_t m = fold_history(b->fold, &y);

	if (!n || !m)
		return NULL;
	for (size_t i = 1; i <= MIN(n, m); i++) {
		if (x[n - i].offset != y[m - i].offset)
			return g_strdup_printf(
				"%s and %s have different histories",
				a->self.name, b->self.name);
	}
	return NULL;
}

char *checker_check_settled(struct checker *c)
{
	uint64_t last = last_accepted(c);
	const struct node *first = NULL;
	char *problem = checker_check(c);

	for (int i = 0; i < c->world->count && !problem; i++) {
		const struct node *node = c->world->nodes[i];

		if (!node->up)
			continue;
		if (fold_revision(node->fold) != last)
			problem = g_strdup_printf(
				"%s has %" G_GUINT64_FORMAT
				" in force, not %" G_GUINT64_FORMAT,
				node->self.name, fold_revision(node->fold),
				last);
		if (!first)
			first = node;
		if (!problem)
			problem = histories_differ(first, node);
	}
	for (guint i = 0; i < c->attempts->len && !problem; i++) {
		const struct attempt *attempt = c->attempts->pdata[i];

		if (!attempt->answered && !attempt->dropped &&
		    clock_now(c->world->clock) > attempt->deadline)
			problem = g_strdup_printf("%s was never answered",
						  attempt->content);
	}
	return problem;
}
