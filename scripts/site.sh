# shellcheck shell=sh
# Functions that start and stop a site of real processes on loopback.
# Source it, then: site_open BUILD; site_arequipa; ...; site_close (also done
# on exit and on an interrupt). The processes choose their ports, which are read from
# the event=listening lines of their logs. All files are written to one folder,
# $site_dir, which is removed at the end unless SITE_KEEP is set.
#
# SITE_PLATFORM_ARGS, SITE_ENGINE_ARGS, SITE_SERVICE_ARGS and SITE_ENTRY_ARGS
# are added to the command lines.
#
# Set after a start: site_callers, site_admins, site_ledgers (comma-separated
# addresses) and site_platform.

site_wait_tenths=50 # timeout for a process to log its address
site_stop_tenths=80 # timeout of the shutdown before SIGKILL

site_open() {
	site_build=$1
	site_dir=$(mktemp -d "${TMPDIR:-/tmp}/jacinthtrestle.XXXXXX")
	site_pids=
	site_callers=
	site_admins=
	site_ledgers=
	site_seeds=
	site_entry_names=
	site_backend_names=
	trap site_close EXIT
	trap 'exit 130' INT
	trap 'exit 143' TERM
}

# site_run NAME PROGRAM ARGS...: starts a process that logs to $site_dir/NAME.log.
site_run() {
	site_name=$1
	site_program=$2
	shift 2
	"$site_build/$site_program" "$@" </dev/null \
		>"$site_dir/$site_name.log" 2>&1 &
	echo $! >"$site_dir/$site_name.pid"
	site_pids="$! $site_pids"
}

# site_address NAME [ROLE]: waits for the address of a process and prints it.
site_address() {
	site_tries=0
	while :; do
		site_found=$(sed -n "/event=listening.*${2:+role=$2 }/s/.*address=\([^ ]*\).*/\1/p" \
			"$site_dir/$1.log" | head -n 1)
		[ -z "$site_found" ] || break
		site_tries=$((site_tries + 1))
		if [ "$site_tries" -gt "$site_wait_tenths" ]; then
			echo "$1 does not listen:" >&2
			tail -n 5 "$site_dir/$1.log" >&2
			return 1
		fi
		sleep 0.1
	done
	echo "$site_found"
}

site_alive() {
	for site_pid in $site_pids; do
		kill -0 "$site_pid" 2>/dev/null && return 0
	done
	return 1
}

# Kills the processes that are still alive after the timeout of the shutdown.
site_watch() {
	site_left=$site_stop_tenths
	while [ "$site_left" -gt 0 ] && site_alive; do
		sleep 0.1
		site_left=$((site_left - 1))
	done
	for site_pid in $site_pids; do
		kill -KILL "$site_pid" 2>/dev/null || :
	done
}

# Stops the processes in the reverse order of their start: entry instances first,
# which drain.
site_close() {
	trap - EXIT
	trap '' INT TERM
	for site_pid in $site_pids; do
		kill -TERM "$site_pid" 2>/dev/null || :
	done
	site_watch >/dev/null 2>&1 &
	site_watcher=$!
	for site_pid in $site_pids; do
		wait "$site_pid" 2>/dev/null || :
	done
	kill "$site_watcher" 2>/dev/null || :
	wait "$site_watcher" 2>/dev/null || :
	site_pids=
	if [ -n "${SITE_KEEP:-}" ]; then
		echo "kept: $site_dir" >&2
	else
		rm -rf "$site_dir"
	fi
}

site_start_platform() {
	# shellcheck disable=SC2086
	site_run platform standin/jtplatform --listen 127.0.0.1:0 \
		${SITE_PLATFORM_ARGS:-}
	site_platform=$(site_address platform)
}

# site_start_engine NAME POOL DATA_CENTRE ROLE ARGS...
site_start_engine() {
	site_backend_names="$site_backend_names $1"
	site_name=$1 site_pool=$2 site_dc=$3 site_role=$4
	shift 4
	# shellcheck disable=SC2086
	site_run "$site_name" standin/jtengine --name "$site_name" \
		--pool "$site_pool" --data-centre "$site_dc" \
		--role "$site_role" --listen 127.0.0.1:0 \
		--platform "$site_platform" "$@" ${SITE_ENGINE_ARGS:-}
}

# site_start_service NAME POOL DATA_CENTRE
site_start_service() {
	site_backend_names="$site_backend_names $1"
	# shellcheck disable=SC2086
	site_run "$1" standin/jtservice --name "$1" --pool "$2" \
		--data-centre "$3" --listen 127.0.0.1:0 \
		--platform "$site_platform" ${SITE_SERVICE_ARGS:-}
}

# site_start_entry NAME DATA_CENTRE
site_start_entry() {
	site_entry_names="$site_entry_names $1"
	# shellcheck disable=SC2086
	site_run "$1" entry/jtentry --name "$1" --data-centre "$2" \
		--listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 \
		--peer-listen 127.0.0.1:0 --platform "$site_platform" \
		$site_seeds ${SITE_ENTRY_ARGS:-}
	if [ -z "$site_seeds" ]; then
		site_seeds="--seed $1@$2@$(site_address "$1" peers)"
	fi
}

# site_lists NAME N: waits until the instance has read N backend servers from the
# platform's list.
site_lists() {
	site_tries=0
	until [ "$(grep -c 'event=backend_listed' "$site_dir/$1.log")" -ge "$2" ]; do
		site_tries=$((site_tries + 1))
		if [ "$site_tries" -gt "$site_wait_tenths" ]; then
			echo "$1 does not know all backend servers" >&2
			return 1
		fi
		sleep 0.1
	done
}

# Collects the addresses of all processes.
site_ready() {
	for site_each in $site_backend_names; do
		site_ledgers="$site_ledgers${site_ledgers:+,}$(site_address "$site_each")"
	done
	for site_each in $site_entry_names; do
		site_callers="$site_callers${site_callers:+,}$(site_address "$site_each" callers)"
		site_admins="$site_admins${site_admins:+,}$(site_address "$site_each" admin)"
	done
	site_admin=${site_admins%%,*}
	site_backends=$(echo "$site_backend_names" | wc -w)
	for site_each in $site_entry_names; do
		site_lists "$site_each" "$site_backends"
	done
}

# site_knows ADMIN: whether the instance has the configuration and every backend
# server that was started (the platform's list is delayed).
site_knows() {
	curl -s -f -o /dev/null "http://$1/health" || return 1
	site_status=$(curl -s "http://$1/status")
	echo "$site_status" | grep -q '"revision": *[1-9]' || return 1
	[ "$(echo "$site_status" | grep -c '"listed": *true')" -eq \
		"$(echo "$site_backend_names" | wc -w)" ]
}

# site_apply FILE: puts a configuration in force at all instances.
site_apply() {
	"$site_build/ctl/jtctl" --admin "$site_admin" apply "$1"
	site_tries=0
	for site_each in $(echo "$site_admins" | tr , ' '); do
		until site_knows "$site_each"; do
			site_tries=$((site_tries + 1))
			if [ "$site_tries" -gt 100 ]; then
				echo "$site_each is not ready" >&2
				return 1
			fi
			sleep 0.1
		done
	done
}

# The site of Arequipa: lexllm has 14 runners, settle-api 3 servers. Runners can change
# their role, so all have the same parameters.
site_arequipa() {
	site_lex="--pieces 100 --slots 20 --link-bytes-per-s 5e9
		--prefill-tokens-per-s 8000 --decode-tokens-per-s 40
		--checks-fencing"
	site_start_platform
	for site_n in 1 2 3 4 5 6; do
		# shellcheck disable=SC2086
		site_start_engine "lex-p$site_n" lex-prefill \
			"$(site_arequipa_dc "$site_n")" prefill \
			$site_lex
	done
	for site_n in 1 2 3 4 5 6 7 8; do
		# shellcheck disable=SC2086
		site_start_engine "lex-d$site_n" lex-decode \
			"$(site_arequipa_dc "$site_n")" decode \
			$site_lex
	done
	for site_n in 1 2 3; do
		site_start_service "settle-$site_n" settle \
			"$(site_arequipa_dc "$site_n")"
	done
	for site_n in 1 2 3 4 5 6 7; do
		site_start_entry "entry-$site_n" "$(site_arequipa_dc "$site_n")"
	done
	site_ready
}

site_arequipa_dc() {
	case $(($1 % 3)) in
	1) echo sala-norte ;;
	2) echo sala-sur ;;
	0) echo sala-centro ;;
	esac
}

# The site of Vestland: drafter has 9 runners, portal 3 servers.
site_vestland() {
	site_start_platform
	for site_n in 1 2 3; do
		site_start_engine "draft-p$site_n" draft-prefill \
			"$(site_vestland_dc "$site_n")" prefill \
			--link-bytes-per-s 5e9 --prefill-tokens-per-s 10000
	done
	for site_n in 1 2 3 4 5 6; do
		site_start_engine "draft-d$site_n" draft-decode \
			"$(site_vestland_dc "$site_n")" decode \
			--pieces 140 --slots 20 --link-bytes-per-s 5e9 \
			--decode-tokens-per-s 40
	done
	for site_n in 1 2 3; do
		site_start_service "portal-$site_n" portal \
			"$(site_vestland_dc "$site_n")"
	done
	for site_n in 1 2 3 4 5 6; do
		site_start_entry "entry-$site_n" "$(site_vestland_dc "$site_n")"
	done
	site_ready
}

site_vestland_dc() {
	case $(($1 % 3)) in
	1) echo hall-a ;;
	2) echo hall-b ;;
	0) echo hall-c ;;
	esac
}
