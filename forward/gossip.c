#include "forward/gossip.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "common/id.h"
#include "common/log.h"
#include "gossip_codec.h"
#include "gossip_private.h"
#include "web/loop.h"

/* A word is sent at least so often although nothing changed. */
#define IDLE_USEC (300 * USEC_PER_MSEC)
/* How often an address that does not answer is tried. */
#define TRY_USEC (1 * USEC_PER_SEC)
/* How often those elsewhere are told who lives in this data centre: well before
 * who is not named any more is taken for gone. */
#define ADDRESSES_USEC (1 * USEC_PER_SEC)
#define READ_MAX 64
/* A change of load on a server of engines is told at once to the peers near,
 * and to those of the server's data centre, as long as datagrams are left of
 * this many a second, and this many saved up. Told only every 100 ms near and
 * 600 ms elsewhere, instances that place at the same time choose the same
 * server, which then preempts: with 83 instances the mean worth of days with
 * trouble was 0.344, then 0.477 (5 and 15 plays, no processor time charged);
 * with 7 it was 0.744 and 0.568, then 0.754 and 0.571. With at most 240 a
 * second it was 0.433 with 83 (5 plays). A request changes load some five
 * times, so 83 instances with 36 requests a second tell 180 datagrams a second
 * each. */
#define AT_ONCE_PER_SEC 450.0
#define AT_ONCE_SAVED 900.0
/* The same for the peers of all other data centres, who only use the server
 * when theirs are full, and hear of it from their tellers soon. */
#define AT_ONCE_FAR_PER_SEC 150.0
#define AT_ONCE_FAR_SAVED 300.0
/* Weight of a new measurement in the mean delay of telling. */
#define DELAY_WEIGHT 0.05

/* ---- hearing ---- */

/* Another start of the peer, or the next message of the same one. */
static bool is_news(const struct peer *peer,
		    const struct gossip_message *message)
{
	if (message->boot != peer->boot)
		return message->boot > peer->boot &&
		       message->kind != GOSSIP_CHANGES;
	return message->sequence > peer->sequence;
}

/* An instance that told of itself. */
static void own_take(struct gossip *gossip, struct peer *peer,
		     const struct gossip_message *message)
{
	peer->word = message->word;
	if (peer_near(gossip, peer)) {
		loads_replace(gossip, peer->loads, message->loads);
		gossip->centre_revision++;
	}
	for (guint i = 0; i < message->addresses->len; i++)
		gossip_meet(gossip, g_array_index(message->addresses,
						  struct gossip_address, i)
					    .text);
}

/* All that live in another data centre. */
static void members_take(struct gossip *gossip,
			 const struct gossip_message *message)
{
	for (guint i = 0; i < message->addresses->len; i++) {
		const char *address = g_array_index(message->addresses,
						    struct gossip_address, i)
					      .text;
		struct peer *peer = g_hash_table_lookup(gossip->peers, address);

		if (!peer)
			peer = peer_add(gossip, address);
		if (peer && !peer_near(gossip, peer))
			peer_heard(gossip, peer, message->data_centre);
	}
}

static void centre_take(struct gossip *gossip, struct peer *peer,
			const struct gossip_message *message)
{
	struct centre *centre;

	if (peer_near(gossip, peer))
		return;
	centre = centre_get(gossip, message->data_centre);
	if (centre->heard == GOSSIP_NEVER ||
	    gossip_now(gossip) - centre->heard >= GOSSIP_STALE_USEC)
		log_event(LOG_NOTICE, "data_centre_heard",
			  LOG_S("data_centre", centre->name),
			  LOG_S("peer", message->name));
	centre->heard = gossip_now(gossip);
	centre->left = message->word.leaving && message->addresses->len == 0;
	centre->total = message->word;
	centre->first = message->first;
	peer->word.leaving = message->word.leaving;
	loads_replace(gossip, centre->loads, message->loads);
	members_take(gossip, message);
}

static void changes_take(struct gossip *gossip, struct peer *peer,
			 const struct gossip_message *message)
{
	if (peer_near(gossip, peer)) {
		loads_change(gossip, peer->loads, message->loads);
		gossip->centre_revision++;
	} else {
		loads_change(gossip,
			     centre_get(gossip, peer->data_centre)->loads,
			     message->loads);
	}
}

static void word_take(struct gossip *gossip, struct peer *peer,
		      const struct gossip_message *message)
{
	if (!peer_live(gossip, peer) && !message->word.leaving)
		log_event(LOG_INFO, "peer_live", LOG_S("peer", message->name),
			  LOG_S("address", peer->address));
	g_strlcpy(peer->name, message->name, sizeof(peer->name));
	peer_heard(gossip, peer, message->data_centre);
	if (message->kind == GOSSIP_OWN)
		own_take(gossip, peer, message);
	else
		centre_take(gossip, peer, message);
	gossip->ops.heard(gossip->ctx, peer->address, peer_near(gossip, peer),
			  &message->word);
}

static void message_take(struct gossip *gossip, const char *from,
			 const struct gossip_message *message)
{
	struct peer *peer = g_hash_table_lookup(gossip->peers, from);

	if (!peer && message->kind != GOSSIP_CHANGES)
		peer = peer_add(gossip, from);
	if (!peer || !is_news(peer, message))
		return;
	peer->boot = message->boot;
	peer->sequence = message->sequence;
	if (message->kind != GOSSIP_CHANGES) {
		word_take(gossip, peer, message);
		return;
	}
	peer->heard = gossip_now(gossip);
	changes_take(gossip, peer, message);
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
		gossip->traffic.received++;
		gossip->traffic.received_bytes += (uint64_t)n;
		datagram_take(gossip, &from, data, (size_t)n);
	}
}

/* ---- telling ---- */

static void peer_send(struct gossip *gossip, const struct peer *peer,
		      const GByteArray *out)
{
	gossip->traffic.sent++;
	gossip->traffic.sent_bytes += out->len;
	/* What cannot be sent is made good by the next one. */
	(void)sendto(gossip->fd, out->data, out->len,
		     MSG_DONTWAIT | MSG_NOSIGNAL, (struct sockaddr *)&peer->to,
		     peer->to_size);
}

/* One address rides along, another each time, so that an instance that could
 * not read the store learns of all peers from one. */
static void address_add(struct gossip *gossip, struct gossip_message *message)
{
	GHashTableIter iter;
	struct peer *peer;
	uint32_t at = 0;
	uint32_t size = MAX(g_hash_table_size(gossip->peers), 1u);
	uint32_t start = gossip->spread++ % size;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (at++ < start || !peer_live(gossip, peer))
			continue;
		gossip_message_add(message, peer->address);
		return;
	}
}

static void message_begin(struct gossip *gossip, struct gossip_message *message,
			  enum gossip_kind kind)
{
	gossip_message_init(message, kind);
	message->boot = gossip->settings.boot;
	message->sequence = ++gossip->sequence;
	g_strlcpy(message->name, gossip->settings.name, sizeof(message->name));
	g_strlcpy(message->data_centre, gossip->settings.data_centre,
		  sizeof(message->data_centre));
}

static void last_replace(struct gossip *gossip, const GArray *loads)
{
	g_array_set_size(gossip->last, 0);
	g_array_append_vals(gossip->last, loads->data, loads->len);
}

static void loads_changed(struct gossip *gossip)
{
	gossip->revision++;
	gossip->centre_revision++;
	gossip->changed_at = gossip_now(gossip);
}

/* This instance's word, to be sent now. */
static GByteArray *own_encode(struct gossip *gossip)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_OWN);
	gossip->ops.word(gossip->ctx, &message.word);
	g_strlcpy(message.first.name, message.name, sizeof(message.first.name));
	loads_own(gossip, message.loads);
	address_add(gossip, &message);
	gossip_encode(&message, out);
	loads_differ(gossip->last, message.loads, changes);
	if (message.word.leaving || changes->len > 0)
		loads_changed(gossip);
	last_replace(gossip, message.loads);
	gossip_message_clear(&message);
	return out;
}

static void members_add(const struct gossip *gossip,
			struct gossip_message *message)
{
	if (!message->word.leaving)
		gossip_message_add(message, gossip->settings.address);
	for (guint i = 0; i < gossip->near->len; i++) {
		const struct peer *peer = gossip->near->pdata[i];

		if (peer_live(gossip, peer))
			gossip_message_add(message, peer->address);
	}
}

/* What this instance knows of its data centre; with who lives there, if asked.
 */
static GByteArray *centre_encode(struct gossip *gossip, bool members)
{
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_CENTRE);
	gossip_total_near(gossip, &message.word);
	gossip_first_near(gossip, message.word.storeless, message.word.leaving,
			  &message.first);
	loads_own(gossip, message.loads);
	loads_add_near(gossip, message.loads);
	if (members)
		members_add(gossip, &message);
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	return out;
}

static void delay_add(double *delay, int64_t usec)
{
	*delay += DELAY_WEIGHT * ((double)usec - *delay);
}

static bool near_due(const struct gossip *gossip, const struct peer *peer,
		     int64_t every)
{
	if (peer->told == GOSSIP_NEVER)
		return true;
	if (!peer_live(gossip, peer))
		every = TRY_USEC;
	else if (peer->told_revision == gossip->revision)
		every = MAX(every, IDLE_USEC);
	return gossip_now(gossip) - peer->told >= every;
}

static void near_tell(struct gossip *gossip, const GByteArray *out)
{
	int64_t every = gossip_interval(gossip, true);

	if (gossip->ops.reads(gossip->ctx))
		every = MIN(every, IDLE_USEC);
	for (guint i = 0; i < gossip->near->len; i++) {
		struct peer *peer = gossip->near->pdata[i];

		if (!near_due(gossip, peer, every))
			continue;
		peer->told = gossip_now(gossip);
		peer->told_revision = gossip->revision;
		peer_send(gossip, peer, out);
	}
}

/* Whoever is not known to live anywhere. Its data centre's tellers hear of this
 * instance so, and its own tells it in turn. */
static void strangers_tell(struct gossip *gossip, const GByteArray *out)
{
	int64_t now = gossip_now(gossip);
	GHashTableIter iter;
	struct peer *peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->data_centre[0] ||
		    (peer->told != GOSSIP_NEVER && now - peer->told < TRY_USEC))
			continue;
		peer->told = now;
		peer_send(gossip, peer, out);
	}
}

static bool receiver_due(const struct gossip *gossip, const struct peer *peer)
{
	int64_t every = gossip_interval(gossip, false);

	if (peer->told_revision == gossip->centre_revision)
		every = MAX(every, IDLE_USEC);
	return peer->told == GOSSIP_NEVER ||
	       gossip_now(gossip) - peer->told >= every;
}

static void receivers_tell(struct gossip *gossip)
{
	g_autoptr(GByteArray) brief = NULL;
	g_autoptr(GByteArray) whole = NULL;
	int64_t now = gossip_now(gossip);

	for (guint i = 0; i < gossip->receivers->len; i++) {
		struct peer *peer = gossip->receivers->pdata[i];
		bool members = peer->told_addresses == GOSSIP_NEVER ||
			       now - peer->told_addresses >= ADDRESSES_USEC;
		GByteArray **out = members ? &whole : &brief;

		if (!receiver_due(gossip, peer))
			continue;
		if (!*out)
			*out = centre_encode(gossip, members);
		if (members)
			peer->told_addresses = now;
		peer->told = now;
		peer->told_revision = gossip->centre_revision;
		peer_send(gossip, peer, *out);
	}
}

/* ---- telling at once ---- */

/* Takes so many datagrams off, or none at all. */
static bool allowance_take(struct gossip *gossip, struct allowance *allowance,
			   uint32_t count)
{
	int64_t now = gossip_now(gossip);
	double more = (double)(now - allowance->at) / (double)USEC_PER_SEC *
		      allowance->per_sec;

	allowance->left = MIN(allowance->left + more, allowance->most);
	allowance->at = now;
	if (allowance->left < (double)count)
		return false;
	allowance->left -= (double)count;
	return true;
}

static void near_tell_at_once(struct gossip *gossip, const GByteArray *out)
{
	if (!allowance_take(gossip, &gossip->at_once, gossip->near->len)) {
		delay_add(&gossip->delay_near, gossip_interval(gossip, true));
		return;
	}
	delay_add(&gossip->delay_near, gossip_now(gossip) - gossip->changed_at);
	for (guint i = 0; i < gossip->near->len; i++) {
		struct peer *peer = gossip->near->pdata[i];

		if (!peer_live(gossip, peer))
			continue;
		peer->told_revision = gossip->revision;
		peer_send(gossip, peer, out);
	}
}

/* Whether a server of the data centre is among them. */
static bool changes_concern(const struct gossip *gossip, const GArray *changes,
			    const struct centre *centre)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct backend *backend = fleet_find(
			gossip->fleet,
			g_array_index(changes, struct gossip_load, i).backend);

		if (backend &&
		    strcmp(backend->info.data_centre, centre->name) == 0)
			return true;
	}
	return false;
}

static void centre_tell_at_once(struct gossip *gossip,
				const struct centre *centre,
				const GArray *changes, const GByteArray *out)
{
	struct allowance *allowance = changes_concern(gossip, changes, centre)
					      ? &gossip->at_once
					      : &gossip->at_once_far;

	if (!allowance_take(gossip, allowance, centre->peers->len)) {
		delay_add(&gossip->delay_far, gossip_interval(gossip, false));
		return;
	}
	delay_add(&gossip->delay_far, gossip_now(gossip) - gossip->changed_at);
	for (guint i = 0; i < centre->peers->len; i++)
		peer_send(gossip, centre->peers->pdata[i], out);
}

static void centres_tell_at_once(struct gossip *gossip, const GArray *changes,
				 const GByteArray *out)
{
	struct centre *centre;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, gossip->centres);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&centre))
		if (centre_live(gossip, centre))
			centre_tell_at_once(gossip, centre, changes, out);
}

static void on_soon(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;
	g_autoptr(GArray) now =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_CHANGES);
	loads_own(gossip, now);
	loads_differ(gossip->last, now, message.loads);
	if (message.loads->len > 0) {
		last_replace(gossip, now);
		loads_changed(gossip);
		gossip_encode(&message, out);
		near_tell_at_once(gossip, out);
		centres_tell_at_once(gossip, message.loads, out);
	}
	gossip_message_clear(&message);
}

void gossip_load_changed(struct gossip *gossip)
{
	if (!timer_running(&gossip->soon))
		timer_start(&gossip->soon, 0);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;
	g_autoptr(GByteArray) out = NULL;

	peers_update(gossip);
	out = own_encode(gossip);
	near_tell(gossip, out);
	strangers_tell(gossip, out);
	receivers_tell(gossip);
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
	gossip->key = id_of(settings->address);
	gossip->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	gossip->centres = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						centre_free);
	gossip->near = g_ptr_array_new();
	gossip->far = g_ptr_array_new();
	gossip->receivers = g_ptr_array_new();
	gossip->last = g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	gossip->socket = h2o_evloop_socket_create(loop_h2o(loop), fd,
						  H2O_SOCKET_FLAG_DONT_READ);
	gossip->socket->data = gossip;
	h2o_socket_read_start(gossip->socket, on_readable);
	gossip->at_once = (struct allowance){AT_ONCE_PER_SEC, AT_ONCE_SAVED,
					     AT_ONCE_SAVED, gossip_now(gossip)};
	gossip->at_once_far =
		(struct allowance){AT_ONCE_FAR_PER_SEC, AT_ONCE_FAR_SAVED,
				   AT_ONCE_FAR_SAVED, gossip_now(gossip)};
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
	g_ptr_array_unref(gossip->receivers);
	g_ptr_array_unref(gossip->far);
	g_ptr_array_unref(gossip->near);
	g_hash_table_destroy(gossip->peers);
	g_hash_table_destroy(gossip->centres);
	g_array_unref(gossip->last);
	g_free(gossip);
}
