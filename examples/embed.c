/*
 * embed.c - two instances that use the coordination library, in one process
 *
 * DESCRIPTION
 *	An embedder provides a clock, a transport between instances and the
 *	platform's log. Here the transport is a queue and the log an array
 *	(memory_log.c). A daemon would use sockets instead, and call
 *	clock_follow() once per iteration of its event loop in place of
 *	clock_advance(). The instances discover each other and claim the same
 *	key; then the first holds a lease and passes it on to the second.
 */
#include <glib.h>
#include <stdio.h>

#include "common/clock.h"
#include "common/log.h"
#include "coord/claim.h"
#include "coord/lease.h"
#include "coord/member.h"
#include "memory_log.h"

#define INSTANCES 2
#define RUN_USEC (5 * USEC_PER_SEC)
#define BOOKING_KEY 42	  /* key of a request that may run only once */
#define MODEL_LOAD_TASK 7 /* task of one instance at a time */

struct instance {
	struct member self;
	struct membership *membership;
	struct claims *claims;
	struct leases *leases;
};

/* A message in flight. */
struct message {
	struct instance *from;
	uint64_t to;
	enum channel channel;
	GBytes *payload;
};

static struct clock *shared_clock;
static struct instance instances[INSTANCES];
static struct memory_log *records;
static GQueue messages = G_QUEUE_INIT;

/* Transport: queues the message, as send() must not deliver it. */
static void message_send(void *ctx, uint64_t to, enum channel channel,
			 const void *payload, size_t size)
{
	struct message *message = g_new0(struct message, 1);

	*message =
		(struct message){ctx, to, channel, g_bytes_new(payload, size)};
	g_queue_push_tail(&messages, message);
}

static void message_deliver(const struct message *message)
{
	uint64_t from = message->from->self.id;
	size_t size;
	const void *data = g_bytes_get_data(message->payload, &size);

	for (int i = 0; i < INSTANCES; i++) {
		if (instances[i].self.id != message->to)
			continue;
		if (message->channel == CHANNEL_MEMBER)
			membership_receive(instances[i].membership, from, data,
					   size);
		else if (message->channel == CHANNEL_CLAIM)
			claims_receive(instances[i].claims, from, data, size);
	}
}

/* Callbacks of the modules. */
static void member_changed(void *ctx, const struct member *member,
			   const enum member_state *old)
{
	struct instance *instance = ctx;

	if (instance->claims)
		claims_member_changed(instance->claims, member);
}

static void claim_answered(void *ctx, uint64_t request, enum result_code code,
			   const struct owner *winner)
{
	const struct instance *instance = ctx;

	printf("%s: request %d: %s\n", instance->self.name, (int)request,
	       result_label(code));
}

static void lease_taken(void *ctx, uint64_t task, uint64_t fence)
{
	const struct instance *instance = ctx;

	printf("%s: holds task %d, fencing number %d\n", instance->self.name,
	       (int)task, (int)fence);
}

static void lease_lost(void *ctx, uint64_t task)
{
	const struct instance *instance = ctx;

	printf("%s: lost task %d\n", instance->self.name, (int)task);
}

static void instance_create(struct instance *instance, const char *name)
{
	static const struct membership_ops member_ops = {
		.changed = member_changed};
	static const struct lease_ops lease_ops = {lease_taken, lease_lost};
	const struct log_store store = memory_log_store(records);
	struct transport transport = {message_send, instance};
	struct member *self = &instance->self;

	g_snprintf(self->name, sizeof(self->name), "%s", name);
	g_snprintf(self->data_centre, sizeof(self->data_centre), "hall-a");
	self->id = id_of(name);
	self->incarnation = (uint64_t)clock_unix(shared_clock);
	instance->membership = membership_create(
		shared_clock, self, NULL, &transport, &member_ops, instance);
	instance->claims =
		claims_create(shared_clock, instance->membership, &store,
			      &transport, claim_answered, instance);
	instance->leases = leases_create(
		shared_clock, &(struct owner){self->id, self->incarnation},
		&store, &lease_ops, instance);
}

/* One iteration per millisecond: messages first, then timers. */
static void run(int64_t usec)
{
	int64_t end = clock_now(shared_clock) + usec;

	while (clock_now(shared_clock) < end) {
		struct message *message = g_queue_pop_head(&messages);

		for (; message; message = g_queue_pop_head(&messages)) {
			message_deliver(message);
			g_bytes_unref(message->payload);
			g_free(message);
		}
		clock_advance(shared_clock,
			      clock_now(shared_clock) + USEC_PER_MSEC);
	}
}

static void instances_destroy(void)
{
	for (int i = 0; i < INSTANCES; i++) {
		leases_destroy(instances[i].leases);
		claims_destroy(instances[i].claims);
		membership_destroy(instances[i].membership);
	}
	/* Lets the log answer the remaining calls; the answers are ignored. */
	run(USEC_PER_SEC);
}

int main(void)
{
	log_setup(NULL, "embed", LOG_ERR);
	shared_clock = clock_create(1700000000 * USEC_PER_SEC);
	records = memory_log_create(shared_clock);
	instance_create(&instances[0], "first");
	instance_create(&instances[1], "second");
	/* The platform's list of instances tells the first about the second. */
	membership_hint(instances[0].membership, &instances[1].self);
	for (int i = 0; i < INSTANCES; i++) {
		membership_start(instances[i].membership);
		claims_start(instances[i].claims);
	}
	run(RUN_USEC);

	claims_submit(instances[0].claims, 1, BOOKING_KEY, USEC_PER_SEC);
	run(RUN_USEC);
	claims_submit(instances[1].claims, 2, BOOKING_KEY, USEC_PER_SEC);
	lease_acquire(instances[0].leases, MODEL_LOAD_TASK);
	run(RUN_USEC);
	lease_acquire(instances[1].leases, MODEL_LOAD_TASK);
	lease_release(instances[0].leases, MODEL_LOAD_TASK);
	run(RUN_USEC);

	instances_destroy();
	memory_log_destroy(records);
	clock_destroy(shared_clock);
	return 0;
}
