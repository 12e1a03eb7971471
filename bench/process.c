#include "process.h"

#include <glib.h>
#include <stdio.h>
#include <unistd.h>

static int64_t file_number(const char *path, int skip)
{
	FILE *file = fopen(path, "r");
	long long number = 0;

	if (!file)
		g_error("cannot read %s", path);
	for (int i = 0; i <= skip; i++)
		if (fscanf(file, "%lld", &number) != 1)
			g_error("no number in %s", path);
	fclose(file);
	return number;
}

int64_t process_cpu_usec(int pid)
{
	char path[64];

	g_snprintf(path, sizeof(path), "/proc/%d/schedstat", pid);
	return file_number(path, 0) / 1000;
}

int64_t process_memory(int pid)
{
	char path[64];

	g_snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	return file_number(path, 1) * sysconf(_SC_PAGESIZE);
}

int load_average(void)
{
	FILE *file = fopen("/proc/loadavg", "r");
	double load = 0;

	if (file && fscanf(file, "%lf", &load) != 1)
		load = 0;
	if (file)
		fclose(file);
	return (int)(load * 100);
}
