/*
 * keepalive.h - TCP keep-alive and user timeout, to detect dead connections
 */
#ifndef WEB_KEEPALIVE_H
#define WEB_KEEPALIVE_H

/* Makes the kernel reset a connection whose peer acknowledges neither
 * keep-alive probes nor sent data for five seconds. */
void keepalive_enable(int fd);

#endif
