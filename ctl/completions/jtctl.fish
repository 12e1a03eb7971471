# Written by "jtctl completions fish".
complete -c jtctl -f
complete -c jtctl -n __fish_use_subcommand -a apply -d 'Put a file in force, whole'
complete -c jtctl -n '__fish_seen_subcommand_from apply' -F
complete -c jtctl -n __fish_use_subcommand -a completions -d 'Print completions for bash, zsh or fish'
complete -c jtctl -n '__fish_seen_subcommand_from completions' -a 'bash zsh fish'
complete -c jtctl -n __fish_use_subcommand -a diff -d 'Compare a file with the one in force, or two files'
complete -c jtctl -n '__fish_seen_subcommand_from diff' -F
complete -c jtctl -n __fish_use_subcommand -a explain -d 'Tell from logs what became of a request, and why'
complete -c jtctl -n '__fish_seen_subcommand_from explain' -F
complete -c jtctl -n __fish_use_subcommand -a history -d 'Print the audit trail of changes'
complete -c jtctl -n __fish_use_subcommand -a losses -d 'Count what callers lost, by cause, route and second'
complete -c jtctl -n '__fish_seen_subcommand_from losses' -F
complete -c jtctl -n __fish_use_subcommand -a measures -d 'Print goodput and wasted prefill, before and after'
complete -c jtctl -n '__fish_seen_subcommand_from measures' -F
complete -c jtctl -n __fish_use_subcommand -a policies -d 'List the routing policies that a file may name'
complete -c jtctl -n __fish_use_subcommand -a show -d 'Print the file in force'
complete -c jtctl -n __fish_use_subcommand -a status -d 'Print what an instance knows of the site'
complete -c jtctl -n __fish_use_subcommand -a validate -d 'Check a file without applying it'
complete -c jtctl -n '__fish_seen_subcommand_from validate' -F
complete -c jtctl -n __fish_use_subcommand -a where -d 'Explain where a request would go now, without sending it'
complete -c jtctl -l admin -s a -x -d 'Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)'
complete -c jtctl -l json -s j -d 'Print JSON'
complete -c jtctl -l help -d 'Print this help'
complete -c jtctl -l version -s V -d 'Print the version'
complete -c jtctl -n '__fish_seen_subcommand_from validate' -l remote -s r -d 'Compare with the backend servers that a daemon knows, too'
complete -c jtctl -n '__fish_seen_subcommand_from apply' -l base -s b -x -d 'Revision that the file is based on, else the one in force'
complete -c jtctl -n '__fish_seen_subcommand_from apply measures' -l author -x -d 'Name for the audit trail (JT_AUTHOR, else USER)'
complete -c jtctl -n '__fish_seen_subcommand_from measures' -l window -s w -x -d 'Measure two windows of this length, one after the other'
complete -c jtctl -n '__fish_seen_subcommand_from measures' -l save -s s -r -F -d 'Write the last report to FILE'
complete -c jtctl -n '__fish_seen_subcommand_from measures' -l apply -r -F -d 'Apply FILE between the two windows'
