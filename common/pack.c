#include "common/pack.h"

#include <glib.h>
#include <string.h>

int pack_append(void *out, const char *data, size_t size)
{
	g_byte_array_append(out, (const guint8 *)data, (guint)size);
	return 0;
}

void pack_text(msgpack_packer *packer, const char *text)
{
	size_t size = strlen(text);

	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}
