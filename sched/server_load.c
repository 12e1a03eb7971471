#include "sched/server_load.h"

bool server_load_valid(const struct server_load *load)
{
	if (load->slots == 0 || load->slots > SERVER_LOAD_REQUESTS_MAX ||
	    load->running > SERVER_LOAD_REQUESTS_MAX ||
	    load->waiting > SERVER_LOAD_REQUESTS_MAX)
		return false;
	return load->pace == 0.0 || (load->pace >= SERVER_LOAD_PACE_MIN &&
				     load->pace <= SERVER_LOAD_PACE_MAX);
}
