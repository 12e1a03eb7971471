/*
 * address_free.h - an address on the process's own loopback address that nobody
 * has bound
 */
#ifndef TESTS_FAKE_ADDRESS_FREE_H
#define TESTS_FAKE_ADDRESS_FREE_H

#define ADDRESS_FREE_MAX 32

/* For datagrams, as "127.64.62.37:PORT". */
void address_free(char out[ADDRESS_FREE_MAX]);

#endif
