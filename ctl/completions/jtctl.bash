# bash completion for jtctl; written by "jtctl completions bash".
_jtctl() {
	local cur=${COMP_WORDS[COMP_CWORD]} words= files=0 i
	local command=
	for ((i = 1; i < COMP_CWORD; i++)); do
		case ${COMP_WORDS[i]} in
		-a | --admin) ((i++)) ;;
		-*) ;;
		*) command=${COMP_WORDS[i]}; break ;;
		esac
	done
	case $command in
	'') words="--admin --json --help --version apply completions diff explain history losses measures policies show status validate where" ;;
	apply) words="--admin --json --help --version --base --author"; files=1 ;;
	completions) words="--admin --json --help --version bash zsh fish"; files=0 ;;
	diff) words="--admin --json --help --version"; files=1 ;;
	explain) words="--admin --json --help --version"; files=1 ;;
	history) words="--admin --json --help --version"; files=0 ;;
	losses) words="--admin --json --help --version"; files=1 ;;
	measures) words="--admin --json --help --version --author --window --save --apply"; files=1 ;;
	policies) words="--admin --json --help --version"; files=0 ;;
	show) words="--admin --json --help --version"; files=0 ;;
	status) words="--admin --json --help --version"; files=0 ;;
	validate) words="--admin --json --help --version --remote"; files=1 ;;
	where) words="--admin --json --help --version"; files=0 ;;
	esac
	COMPREPLY=($(compgen -W "$words" -- "$cur"))
	if [ "$files" = 1 ]; then
		COMPREPLY+=($(compgen -f -- "$cur"))
	fi
}
complete -o filenames -F _jtctl jtctl
