/*
 * silence.h - connections that died without a word
 */
#ifndef WEB_SILENCE_H
#define WEB_SILENCE_H

/* Has the kernel reset a connection whose other side has answered nothing for
 * five seconds, be it probes while it is idle or data that was sent. */
void silence_watch(int fd);

#endif
