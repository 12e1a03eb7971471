#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/error.h"
#include "load/command.h"
#include "load/report.h"

struct plot_arguments {
	const char *out;
	char **files;
	int file_count;
};

static int command_fail(const struct error *err)
{
	fprintf(stderr, "jtload: %s\n", err->text);
	return EXIT_FAILURE;
}

int command_compare(int argc, char **argv)
{
	static const struct argp argp = {
		.args_doc = "BEFORE.json AFTER.json",
		.doc = "Puts two reports of jtload run side by side",
	};
	struct error err = {0};
	json_t *before;
	json_t *after;
	GString *out;
	int first;

	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, &first, NULL);
	if (argc - first != 2) {
		error_set(&err, RESULT_USAGE, "compare takes two reports");
		return command_fail(&err);
	}
	before = report_read(argv[first], &err);
	after = before != NULL ? report_read(argv[first + 1], &err) : NULL;
	if (after != NULL) {
		out = g_string_new(NULL);
		report_compare(before, after, out);
		fputs(out->str, stdout);
		g_string_free(out, TRUE);
	}
	json_decref(before);
	json_decref(after);
	return after != NULL ? EXIT_SUCCESS : command_fail(&err);
}

static error_t plot_parse(int key, char *arg, struct argp_state *state)
{
	struct plot_arguments *arguments = state->input;

	switch (key) {
	case 'o':
		arguments->out = arg;
		return 0;
	case ARGP_KEY_ARGS:
		arguments->files = state->argv + state->next;
		arguments->file_count = state->argc - state->next;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no report");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool plot_write(const char *file, json_t *const *reports, size_t count,
		       struct error *err)
{
	GString *out = g_string_new(NULL);
	GError *error = NULL;
	bool ok;

	report_plot(reports, count, out);
	ok = g_file_set_contents(file, out->str, (gssize)out->len, &error);
	if (!ok) {
		error_set(err, RESULT_IO, "%s", error->message);
		g_error_free(error);
	}
	g_string_free(out, TRUE);
	return ok;
}

static void reports_free(json_t **reports, int count)
{
	for (int i = 0; i < count; i++)
		json_decref(reports[i]);
	g_free(reports);
}

/* Returns NULL if any of the files cannot be read. */
static json_t **reports_read(char **files, int count, struct error *err)
{
	json_t **reports;

	if (count < 1) {
		error_set(err, RESULT_USAGE, "no report is named");
		return NULL;
	}
	reports = g_new0(json_t *, (gsize)count);
	for (int i = 0; i < count; i++) {
		reports[i] = report_read(files[i], err);
		if (reports[i] != NULL)
			continue;
		reports_free(reports, i);
		return NULL;
	}
	return reports;
}

int command_table(int argc, char **argv)
{
	static const struct argp argp = {
		.args_doc = "REPORT.json...",
		.doc = "Prints the medians of reports of jtload run, a row for "
		       "each label and rate",
	};
	struct error err = {0};
	json_t **reports;
	GString *out;
	int first;

	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, &first, NULL);
	reports = reports_read(argv + first, argc - first, &err);
	if (reports == NULL)
		return command_fail(&err);
	out = g_string_new(NULL);
	report_table(reports, (size_t)(argc - first), out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	reports_free(reports, argc - first);
	return EXIT_SUCCESS;
}

int command_plot(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"out", 'o', "FILE", 0, "Where to write the SVG", 0},
		{0},
	};
	static const struct argp argp = {
		.options = options,
		.parser = plot_parse,
		.args_doc = "REPORT.json...",
		.doc = "Draws reports of jtload run as an SVG",
	};
	struct plot_arguments arguments = {.out = "report.svg"};
	struct error err = {0};
	json_t **reports;
	bool ok;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	reports = reports_read(arguments.files, arguments.file_count, &err);
	if (reports == NULL)
		return command_fail(&err);
	ok = plot_write(arguments.out, reports, (size_t)arguments.file_count,
			&err);
	reports_free(reports, arguments.file_count);
	return ok ? EXIT_SUCCESS : command_fail(&err);
}
