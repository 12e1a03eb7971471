#include "common/clock.h"
#include "coord/retry.h"

/* A server that fails a tenth of its calls fails three in a row once in a
 * thousand calls. */
#define CIRCUIT_FAILURES 3
#define CIRCUIT_BASE_USEC (500 * USEC_PER_MSEC)
#define CIRCUIT_MAX_USEC (30 * USEC_PER_SEC)
/* A probe whose result is never reported must not keep the circuit open for
 * ever. */
#define CIRCUIT_PROBE_USEC (60 * USEC_PER_SEC)

bool circuit_allow(struct circuit *circuit, int64_t now)
{
	if (circuit->state == CIRCUIT_CLOSED)
		return true;
	if (now < circuit->until)
		return false;
	circuit->state = CIRCUIT_HALF_OPEN;
	circuit->until = now + CIRCUIT_PROBE_USEC;
	return true;
}

void circuit_success(struct circuit *circuit)
{
	*circuit = (struct circuit){.state = CIRCUIT_CLOSED};
}

static void circuit_open(struct circuit *circuit, GRand *rand, int64_t now)
{
	circuit->state = CIRCUIT_OPEN;
	circuit->until =
		now + retry_backoff(rand, circuit->opened, CIRCUIT_BASE_USEC,
				    CIRCUIT_MAX_USEC);
	if (circuit->opened < UINT32_MAX)
		circuit->opened++;
}

/* Failures of calls that began before the circuit opened do not extend the
 * backoff. */
void circuit_failure(struct circuit *circuit, GRand *rand, int64_t now)
{
	if (circuit->state == CIRCUIT_OPEN)
		return;
	if (circuit->state == CIRCUIT_CLOSED &&
	    ++circuit->failures < CIRCUIT_FAILURES)
		return;
	circuit_open(circuit, rand, now);
}
