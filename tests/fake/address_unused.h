/*
 * address_unused.h - an unused UDP port on a loopback address of this process
 */
#ifndef TESTS_FAKE_ADDRESS_UNUSED_H
#define TESTS_FAKE_ADDRESS_UNUSED_H

#define ADDRESS_UNUSED_MAX 32

/* Writes an unused UDP address, such as "127.64.62.37:PORT". The port is not
 * kept bound. */
void address_pick_unused(char out[ADDRESS_UNUSED_MAX]);

#endif
