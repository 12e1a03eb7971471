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

/* Datagrams read in one iteration of the event loop. */
#define DATAGRAMS_PER_READ 64
/* Load changes on an engine server that are sent at once to the local peers and
 * to those of the server's data centre: datagrams a second, and burst. If sent
 * later, instances that place requests at the same time choose the same server,
 * which then preempts. */
#define CHANGES_PER_SEC 450.0
#define CHANGES_BURST 900.0
/* The same for all other data centres. They use the server only when their own
 * servers are full, and the next summary has the change. */
#define CHANGES_REMOTE_PER_SEC 150.0
#define CHANGES_REMOTE_BURST 300.0

static void datagram_handle(struct gossip *gossip,
			    const struct sockaddr_storage *from,
			    const void *data, size_t size)
{
	struct gossip_message message;
	char address[ADDRESS_TEXT_MAX];
	struct error err;

	address_print(from, address);
	if (gossip_decode(&message, data, size, &err))
		gossip_receive(gossip, address, &message);
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
	for (int i = 0; i < DATAGRAMS_PER_READ; i++) {
		struct sockaddr_storage from;
		socklen_t size = sizeof(from);
		ssize_t n =
			recvfrom(gossip->fd, data, sizeof(data), MSG_DONTWAIT,
				 (struct sockaddr *)&from, &size);

		if (n < 0)
			return;
		gossip->traffic.received++;
		gossip->traffic.received_bytes += (uint64_t)n;
		datagram_handle(gossip, &from, data, (size_t)n);
	}
}

void gossip_load_changed(struct gossip *gossip)
{
	if (!timer_running(&gossip->changes_timer))
		timer_start(&gossip->changes_timer, 0);
}

static void on_changes_timer(struct timer *timer, void *ctx)
{
	gossip_send_changes(ctx);
}

static void on_interval_timer(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;

	peers_update(gossip);
	gossip_send_due(gossip);
	timer_start(timer, GOSSIP_INTERVAL_USEC);
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
	gossip->group_count = 1;
	gossip->updated_at = GOSSIP_NEVER / 2;
	g_strlcpy(gossip->group, settings->data_centre, sizeof(gossip->group));
	gossip->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	gossip->other_groups = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, group_state_free);
	gossip->local = g_ptr_array_new();
	gossip->remote = g_ptr_array_new();
	gossip->receivers = g_ptr_array_new();
	gossip->sent_loads =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	gossip->socket = h2o_evloop_socket_create(loop_h2o(loop), fd,
						  H2O_SOCKET_FLAG_DONT_READ);
	gossip->socket->data = gossip;
	h2o_socket_read_start(gossip->socket, on_readable);
	gossip->changes_bucket =
		(struct token_bucket){CHANGES_PER_SEC, CHANGES_BURST,
				      CHANGES_BURST, gossip_now(gossip)};
	gossip->changes_bucket_remote = (struct token_bucket){
		CHANGES_REMOTE_PER_SEC, CHANGES_REMOTE_BURST,
		CHANGES_REMOTE_BURST, gossip_now(gossip)};
	gossip->delay_local = (double)GOSSIP_INTERVAL_USEC;
	gossip->delay_remote = (double)GOSSIP_INTERVAL_USEC;
	timer_init(&gossip->changes_timer, gossip->clock, on_changes_timer,
		   gossip);
	timer_init(&gossip->timer, gossip->clock, on_interval_timer, gossip);
	timer_start(&gossip->timer, 0);
	gossip_speeds_start(gossip);
	gossip_quarantine_start(gossip);
	gossip_usage_start(gossip);
	return gossip;
}

void gossip_destroy(struct gossip *gossip)
{
	if (!gossip)
		return;
	timer_stop(&gossip->timer);
	timer_stop(&gossip->changes_timer);
	gossip_quarantine_stop(gossip);
	gossip_usage_stop(gossip);
	h2o_socket_read_stop(gossip->socket);
	h2o_socket_close(gossip->socket);
	g_ptr_array_unref(gossip->receivers);
	g_ptr_array_unref(gossip->remote);
	g_ptr_array_unref(gossip->local);
	g_hash_table_destroy(gossip->peers);
	g_hash_table_destroy(gossip->other_groups);
	g_array_unref(gossip->sent_loads);
	g_free(gossip);
}
