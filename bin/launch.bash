# Sourced by the launchers in this directory; defines launch.

# launch MAIN_CLASS [ARGUMENT...]: runs a main class of the project; builds the jars first if they are missing.
launch() {
  local root main_class=$1
  shift
  root="$(cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.." && pwd)"
  local target="$root/lavenderwick-cli/target"
  if ! compgen -G "$target/lavenderwick-cli-*.jar" > /dev/null || ! compgen -G "$target/lib/*.jar" > /dev/null; then
    echo "lavenderwick: building the jars, once" >&2
    (cd "$root" && mvn -B -ntp -q -DskipTests -pl lavenderwick-cli -am package) >&2
  fi
  local jars=("$target"/lavenderwick-cli-*.jar)
  # shellcheck disable=SC2086 # JAVA_OPTS holds several options
  exec java ${JAVA_OPTS:-} -cp "${jars[0]}:$target/lib/*" "$main_class" "$@"
}
