/*
 * address.h - conversion between "IP:port" strings and socket addresses
 *
 * DESCRIPTION
 *	IPv4 is written "127.0.0.1:80", IPv6 "[::1]:80". Host names are not
 *	resolved.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

struct error;

#define ADDRESS_TEXT_MAX 64

/* Returns false with RESULT_BAD_SETTING when text is not a numeric address. */
bool address_parse(const char *text, struct sockaddr_storage *address,
		   socklen_t *size, struct error *err);
void address_print(const struct sockaddr_storage *address,
		   char text[ADDRESS_TEXT_MAX]);

#endif
