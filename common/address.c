#include "common/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"

static bool port_parse(const char *text, in_port_t *port)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT16_MAX, &number, NULL))
		return false;
	*port = htons((uint16_t)number);
	return true;
}

static bool host_parse(const char *host, in_port_t port,
		       struct sockaddr_storage *address, socklen_t *size)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)address;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;

	memset(address, 0, sizeof(*address));
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = port;
		*size = sizeof(*v4);
		return true;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = port;
		*size = sizeof(*v6);
		return true;
	}
	return false;
}

bool address_parse(const char *text, struct sockaddr_storage *address,
		   socklen_t *size, struct error *err)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	const char *start = text;
	char host[ADDRESS_TEXT_MAX];
	size_t len;
	in_port_t port;

	if (!colon)
		return error_set(err, RESULT_BAD_SETTING,
				 "\"%s\" is no IP:port", text ? text : "");
	len = (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && colon[-1] == ']') {
		start++;
		len -= 2;
	}
	if (len >= sizeof(host) || !port_parse(colon + 1, &port))
		return error_set(err, RESULT_BAD_SETTING,
				 "\"%s\" is no IP:port", text);
	memcpy(host, start, len);
	host[len] = '\0';
	if (!host_parse(host, port, address, size))
		return error_set(err, RESULT_BAD_SETTING,
				 "\"%s\" is no IP:port", text);
	return true;
}

void address_print(const struct sockaddr_storage *address,
		   char text[ADDRESS_TEXT_MAX])
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
	char host[INET6_ADDRSTRLEN] = "";

	if (address->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
		g_snprintf(text, ADDRESS_TEXT_MAX, "[%s]:%u", host,
			   ntohs(v6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
	g_snprintf(text, ADDRESS_TEXT_MAX, "%s:%u", host, ntohs(v4->sin_port));
}
