/*
 * command.h - the commands of jtload; each returns the exit status
 */
#ifndef LOAD_COMMAND_H
#define LOAD_COMMAND_H

/* argv[0] is the command's name. */
int command_run(int argc, char **argv);
int command_compare(int argc, char **argv);
int command_table(int argc, char **argv);
int command_plot(int argc, char **argv);

#endif
