#include "forward/gossip.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "common/log.h"
#include "gossip_codec.h"
#include "gossip_private.h"
#include "web/loop.h"

/* A word is sent at least so often although nothing changed. */
#define IDLE_USEC (300 * USEC_PER_MSEC)
/* How often an address that does not answer is tried, and for how long. */
#define TRY_USEC (1 * USEC_PER_SEC)
#define FORGET_USEC (30 * USEC_PER_SEC)
#define PEERS_MAX 2048u
#define READ_MAX 64
/* A change of load on a server of engines is told at once as long as datagrams
 * are left of this many a second, and this many saved up. Told only every 100
 * ms near and 600 ms elsewhere, instances that place at the same time choose
 * the same server, which then preempts: with 83 instances the mean worth of
 * days with trouble was 0.344, now 0.477 (5 and 15 plays, no processor time
 * charged); with 7 it was 0.744 and 0.568, now 0.754 and 0.571. With at most
 * 240 a second it was 0.433 with 83 (5 plays). A request changes load some
 * five times, so 83 instances with 36 requests a second tell 180 datagrams a
 * second each. */
#define AT_ONCE_PER_SEC 600.0
#define AT_ONCE_SAVED 1200.0
/* Weight of a new measurement in the mean delay of telling. */
#define DELAY_WEIGHT 0.05

static void loads_take_off(struct gossip *gossip, struct peer *peer)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		struct applied *applied =
			&g_array_index(peer->loads, struct applied, i);
		struct backend *backend =
			fleet_get(gossip->fleet, applied->handle);

		if (!backend)
			continue;
		backend->peers.requests -= applied->load.requests;
		backend->peers.decode_tokens -= applied->load.decode_tokens;
		backend->peers.prefill_tokens -= applied->load.prefill_tokens;
	}
	g_array_set_size(peer->loads, 0);
}

static void loads_apply(struct gossip *gossip, struct peer *peer,
			const GArray *loads)
{
	loads_take_off(gossip, peer);
	for (guint i = 0; i < loads->len; i++) {
		const struct gossip_load *load =
			&g_array_index(loads, struct gossip_load, i);
		struct backend *backend =
			fleet_find(gossip->fleet, load->backend);
		struct applied applied = {.load = load->load};

		if (!backend)
			continue;
		applied.handle = backend->handle;
		backend->peers.requests += load->load.requests;
		backend->peers.decode_tokens += load->load.decode_tokens;
		backend->peers.prefill_tokens += load->load.prefill_tokens;
		g_array_append_val(peer->loads, applied);
	}
}

static void peer_free(gpointer data)
{
	struct peer *peer = data;

	g_array_unref(peer->loads);
	g_free(peer);
}

static struct peer *peer_add(struct gossip *gossip, const char *address)
{
	struct peer *peer;
	struct sockaddr_storage to;
	socklen_t size;

	if (g_hash_table_size(gossip->peers) >= PEERS_MAX ||
	    strcmp(address, gossip->settings.address) == 0 ||
	    !address_parse(address, &to, &size, NULL))
		return NULL;
	peer = g_new0(struct peer, 1);
	g_strlcpy(peer->address, address, sizeof(peer->address));
	peer->to = to;
	peer->to_size = size;
	peer->met = gossip_now(gossip);
	peer->heard = -1;
	peer->told = -TRY_USEC;
	peer->loads = g_array_new(FALSE, FALSE, sizeof(struct applied));
	g_hash_table_insert(gossip->peers, peer->address, peer);
	return peer;
}

void gossip_meet(struct gossip *gossip, const char *address)
{
	if (!g_hash_table_contains(gossip->peers, address))
		peer_add(gossip, address);
}

static void message_take(struct gossip *gossip, const char *from,
			 const struct gossip_message *message)
{
	struct peer *peer = g_hash_table_lookup(gossip->peers, from);

	if (!peer)
		peer = peer_add(gossip, from);
	if (!peer ||
	    (message->boot == peer->boot &&
	     message->sequence <= peer->sequence) ||
	    message->boot < peer->boot)
		return;
	if (!gossip_peer_live(gossip, peer) && !message->word.leaving)
		log_event(LOG_INFO, "peer_live", LOG_S("peer", message->name),
			  LOG_S("address", from));
	g_strlcpy(peer->name, message->name, sizeof(peer->name));
	g_strlcpy(peer->data_centre, message->data_centre,
		  sizeof(peer->data_centre));
	peer->boot = message->boot;
	peer->sequence = message->sequence;
	peer->heard = gossip_now(gossip);
	peer->word = message->word;
	loads_apply(gossip, peer, message->loads);
	for (uint32_t i = 0; i < message->address_count; i++)
		gossip_meet(gossip, message->addresses[i]);
	gossip->ops.heard(gossip->ctx, from, gossip_peer_near(gossip, peer),
			  &message->word);
}

static void datagram_take(struct gossip *gossip,
			  const struct sockaddr_storage *from, const void *data,
			  size_t size)
{
	struct gossip_message message;
	char address[ADDRESS_TEXT_MAX];
	struct error err;

	address_print(from, address);
	if (gossip_decode(&message, data, size, &err))
		message_take(gossip, address, &message);
	else
		log_event(LOG_NOTICE, "datagram_malformed",
			  LOG_S("from", address), LOG_S("reason", err.text));
	gossip_message_clear(&message);
}

static void on_readable(h2o_socket_t *socket, const char *err)
{
	static char data[GOSSIP_BYTES_MAX];
	struct gossip *gossip = socket->data;

	loop_enter(gossip->loop);
	for (int i = 0; i < READ_MAX; i++) {
		struct sockaddr_storage from;
		socklen_t size = sizeof(from);
		ssize_t n =
			recvfrom(gossip->fd, data, sizeof(data), MSG_DONTWAIT,
				 (struct sockaddr *)&from, &size);

		if (n < 0)
			return;
		datagram_take(gossip, &from, data, (size_t)n);
	}
}

static void own_loads(const struct gossip *gossip, GArray *out)
{
	const GPtrArray *all = fleet_all(gossip->fleet);

	for (guint i = 0; i < all->len; i++) {
		const struct backend *backend = all->pdata[i];
		struct gossip_load load = {backend->key, backend->own};

		if (load.load.requests || load.load.decode_tokens ||
		    load.load.prefill_tokens)
			g_array_append_val(out, load);
	}
}

static bool loads_same(const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const struct gossip_load *x =
			&g_array_index(a, struct gossip_load, i);
		const struct gossip_load *y =
			&g_array_index(b, struct gossip_load, i);

		if (x->backend != y->backend ||
		    x->load.requests != y->load.requests ||
		    x->load.decode_tokens != y->load.decode_tokens ||
		    x->load.prefill_tokens != y->load.prefill_tokens)
			return false;
	}
	return true;
}

/* One address rides along, another each time, so that an instance that could
 * not read the store learns of all peers from one. */
static void addresses_add(struct gossip *gossip, struct gossip_message *message)
{
	GHashTableIter iter;
	struct peer *peer;
	uint32_t at = 0;
	uint32_t size = MAX(g_hash_table_size(gossip->peers), 1u);
	uint32_t start = gossip->spread++ % size;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (at++ < start || !gossip_peer_live(gossip, peer))
			continue;
		g_strlcpy(message->addresses[0], peer->address,
			  BACKEND_TEXT_MAX);
		message->address_count = 1;
		return;
	}
}

static bool peer_due(const struct gossip *gossip, const struct peer *peer)
{
	int64_t now = gossip_now(gossip);
	int64_t since = now - peer->told;
	int64_t every = gossip_interval(gossip, gossip_peer_near(gossip, peer));
	bool changed = peer->told_revision != gossip->revision;

	if (!gossip_peer_live(gossip, peer))
		return since >= TRY_USEC;
	return since >= (changed ? every : MAX(every, IDLE_USEC));
}

static void peer_tell(struct gossip *gossip, struct peer *peer,
		      const GByteArray *out)
{
	int64_t now = gossip_now(gossip);
	double *delay = gossip_peer_near(gossip, peer) ? &gossip->delay_near
						       : &gossip->delay_far;

	if (peer->told_revision != gossip->revision &&
	    gossip_peer_live(gossip, peer))
		*delay += DELAY_WEIGHT *
			  ((double)(now - gossip->changed_at) - *delay);
	peer->told = now;
	peer->told_revision = gossip->revision;
	/* What cannot be sent is made good by the next one. */
	(void)sendto(gossip->fd, out->data, out->len,
		     MSG_DONTWAIT | MSG_NOSIGNAL, (struct sockaddr *)&peer->to,
		     peer->to_size);
}

static void tell_due(struct gossip *gossip, const GByteArray *out)
{
	GHashTableIter iter;
	struct peer *peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (peer_due(gossip, peer))
			peer_tell(gossip, peer, out);
}

/* Takes datagrams to so many peers off the allowance, or none at all. */
static bool allowance_take(struct gossip *gossip, uint32_t peers)
{
	int64_t now = gossip_now(gossip);
	double more = (double)(now - gossip->allowance_at) /
		      (double)USEC_PER_SEC * AT_ONCE_PER_SEC;

	gossip->allowance = MIN(gossip->allowance + more, AT_ONCE_SAVED);
	gossip->allowance_at = now;
	if (gossip->allowance < (double)peers)
		return false;
	gossip->allowance -= (double)peers;
	return true;
}

static void tell_at_once(struct gossip *gossip, const GByteArray *out,
			 bool near)
{
	uint32_t peers = near ? gossip->near
			      : g_hash_table_size(gossip->peers) - gossip->near;
	GHashTableIter iter;
	struct peer *peer;

	if (!allowance_take(gossip, peers))
		return;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (gossip_peer_near(gossip, peer) == near &&
		    gossip_peer_live(gossip, peer) &&
		    peer->told_revision != gossip->revision)
			peer_tell(gossip, peer, out);
}

static void word_fill(struct gossip *gossip, struct gossip_message *message)
{
	*message = (struct gossip_message){
		.boot = gossip->settings.boot,
		.sequence = ++gossip->sequence,
		.loads = g_array_new(FALSE, TRUE, sizeof(struct gossip_load)),
	};
	g_strlcpy(message->name, gossip->settings.name, sizeof(message->name));
	g_strlcpy(message->data_centre, gossip->settings.data_centre,
		  sizeof(message->data_centre));
	gossip->ops.word(gossip->ctx, &message->word);
	own_loads(gossip, message->loads);
	addresses_add(gossip, message);
}

/* The datagram to be sent now. */
static GByteArray *word_encode(struct gossip *gossip)
{
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	word_fill(gossip, &message);
	gossip_encode(&message, out);
	if (message.word.leaving || !loads_same(message.loads, gossip->last)) {
		gossip->revision++;
		gossip->changed_at = gossip_now(gossip);
	}
	g_array_unref(gossip->last);
	gossip->last = message.loads;
	return out;
}

static void on_soon(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;
	g_autoptr(GByteArray) out = word_encode(gossip);

	tell_at_once(gossip, out, true);
	tell_at_once(gossip, out, false);
}

void gossip_load_changed(struct gossip *gossip)
{
	if (!timer_running(&gossip->soon))
		timer_start(&gossip->soon, 0);
}

static gboolean peer_expire(gpointer key, gpointer value, gpointer data)
{
	struct gossip *gossip = data;
	struct peer *peer = value;
	int64_t now = gossip_now(gossip);

	if (peer->heard >= 0 && now - peer->heard >= GOSSIP_STALE_USEC &&
	    peer->loads->len > 0) {
		log_event(LOG_INFO, "peer_silent", LOG_S("peer", peer->name));
		loads_take_off(gossip, peer);
	}
	if (now - MAX(peer->heard, peer->met) < FORGET_USEC)
		return FALSE;
	loads_take_off(gossip, peer);
	return TRUE;
}

static void near_count(struct gossip *gossip)
{
	GHashTableIter iter;
	struct peer *peer;

	gossip->near = 0;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		gossip->near += gossip_peer_near(gossip, peer);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;
	g_autoptr(GByteArray) out = NULL;

	g_hash_table_foreach_remove(gossip->peers, peer_expire, gossip);
	near_count(gossip);
	out = word_encode(gossip);
	tell_due(gossip, out);
	timer_start(timer, GOSSIP_USEC);
}

static int socket_bind(const char *text, struct error *err)
{
	struct sockaddr_storage address;
	socklen_t size;
	int fd;

	if (!address_parse(text, &address, &size, err))
		return -1;
	fd = socket(address.ss_family,
		    SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&address, size) == 0)
		return fd;
	error_set(err, RESULT_IO, "cannot bind %s: %s", text,
		  g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

struct gossip *gossip_create(struct loop *loop, struct fleet *fleet,
			     const struct gossip_settings *settings,
			     const struct gossip_ops *ops, void *ctx,
			     struct error *err)
{
	int fd = socket_bind(settings->address, err);
	struct gossip *gossip;

	if (fd < 0)
		return NULL;
	gossip = g_new0(struct gossip, 1);
	gossip->loop = loop;
	gossip->clock = loop_clock(loop);
	gossip->fleet = fleet;
	gossip->settings = *settings;
	gossip->ops = *ops;
	gossip->ctx = ctx;
	gossip->fd = fd;
	gossip->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	gossip->last = g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	gossip->socket = h2o_evloop_socket_create(loop_h2o(loop), fd,
						  H2O_SOCKET_FLAG_DONT_READ);
	gossip->socket->data = gossip;
	h2o_socket_read_start(gossip->socket, on_readable);
	gossip->allowance = AT_ONCE_SAVED;
	gossip->allowance_at = gossip_now(gossip);
	gossip->delay_near = (double)GOSSIP_USEC;
	gossip->delay_far = (double)GOSSIP_USEC;
	timer_init(&gossip->soon, gossip->clock, on_soon, gossip);
	timer_init(&gossip->timer, gossip->clock, on_timer, gossip);
	timer_start(&gossip->timer, 0);
	return gossip;
}

void gossip_destroy(struct gossip *gossip)
{
	if (!gossip)
		return;
	timer_stop(&gossip->timer);
	timer_stop(&gossip->soon);
	h2o_socket_read_stop(gossip->socket);
	h2o_socket_close(gossip->socket);
	g_hash_table_destroy(gossip->peers);
	g_array_unref(gossip->last);
	g_free(gossip);
}
