#include "mutate.h"

void bytes_mutate(GByteArray *bytes, int edits_max)
{
	int edits = g_test_rand_int_range(1, edits_max + 1);

	for (int i = 0; i < edits && bytes->len; i++) {
		guint at = (guint)g_test_rand_int_range(0, (gint32)bytes->len);
		guint8 byte = (guint8)g_test_rand_int_range(0, 256);

		switch (g_test_rand_int_range(0, 5)) {
		case 0:
			bytes->data[at] = byte;
			break;
		case 1:
			bytes->data[at] ^= (guint8)(1u << (byte & 7));
			break;
		case 2:
			g_byte_array_remove_index(bytes, at);
			break;
		case 3:
			g_byte_array_append(bytes, &byte, 1);
			break;
		default:
			g_byte_array_set_size(bytes, at);
			break;
		}
	}
}
