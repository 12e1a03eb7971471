#include "letter.h"

#include <glib.h>
#include <string.h>

struct letter *letter_create(void *from, void *to, enum channel channel,
			     const void *payload, size_t size)
{
	struct letter *letter = g_malloc(sizeof(*letter) + size);

	letter->from = from;
	letter->to = to;
	letter->channel = channel;
	letter->size = size;
	if (size)
		memcpy(letter->data, payload, size);
	return letter;
}
