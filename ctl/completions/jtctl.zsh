#compdef jtctl
# Written by "jtctl completions zsh".
_jtctl() {
	local -a commands
	commands=(
		'apply:Put a file in force, whole'
		'completions:Print completions for bash, zsh or fish'
		'diff:Compare a file with the one in force, or two files'
		'explain:Tell from logs what became of a request, and why'
		'history:Print the audit trail of changes'
		'losses:Count what callers lost, by cause, route and second'
		'measures:Print goodput and wasted prefill, before and after'
		'policies:List the routing policies that a file may name'
		'show:Print the file in force'
		'status:Print what an instance knows of the site'
		'validate:Check a file without applying it'
		'where:Explain where a request would go now, without sending it'
	)
	if ((CURRENT == 2)); then
		_describe command commands
		return
	fi
	shift words
	((CURRENT--))
	case ${words[1]} in
	apply)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			'--base=[Revision that the file is based on, else the one in force]:REVISION:' \
			'--author=[Name for the audit trail (JT_AUTHOR, else USER)]:NAME:' \
			'*:file:_files' ;;
	completions)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			'1:shell:(bash zsh fish)' ;;
	diff)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			'*:file:_files' ;;
	explain)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			'*:file:_files' ;;
	history)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			&& return ;;
	losses)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			'*:file:_files' ;;
	measures)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			'--author=[Name for the audit trail (JT_AUTHOR, else USER)]:NAME:' \
			'--window=[Measure two windows of this length, one after the other]:SECONDS:' \
			'--save=[Write the last report to FILE]:FILE:_files' \
			'--apply=[Apply FILE between the two windows]:FILE:_files' \
			'*:file:_files' ;;
	policies)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			&& return ;;
	show)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			&& return ;;
	status)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			&& return ;;
	validate)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			'--remote[Compare with the backend servers that a daemon knows, too]' \
			'*:file:_files' ;;
	where)
		_arguments \
			'--admin=[Admin address of a daemon (JT_ADMIN, else 127.0.0.1:8081)]:IP:' \
			'--json[Print JSON]' \
			'--help[Print this help]' \
			'--version[Print the version]' \
			&& return ;;
	esac
}
_jtctl "$@"
