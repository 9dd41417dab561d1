#!/usr/bin/env bash
# Runs platform, three upstreams and three hosts as separate processes on
# loopback, publishes a service, drives it, kills the primary's process during
# the load, and fails if a figure that must be zero is not. Ends only the
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
program=bin/dragonflygrade
work=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT

base=${BASE_PORT:-17400}
platform=127.0.0.1:$base
centres=(north east south)
upstream() { echo "127.0.0.1:$((base + 10 + $1))"; }
caller() { echo "127.0.0.1:$((base + 20 + $1))"; }
peer() { echo "127.0.0.1:$((base + 30 + $1))"; }
admin() { echo "127.0.0.1:$((base + 40 + $1))"; }
peers() {
	local list=()
	for i in 0 1 2; do
		if [ "$i" != "$1" ]; then list+=("up-$i@${centres[$i]}@$(upstream "$i")"); fi
	done
	(IFS=,; echo "${list[*]}")
}

"$program" standin platform --address "$platform" >"$work/platform.log" 2>&1 &
pids+=($!)
upstream_pids=()
for i in 0 1 2; do
	following=()
	if [ "$i" != 0 ]; then following=(--following up-0); fi
	"$program" standin upstream --id "up-$i" --data-centre "${centres[$i]}" --address "$(upstream "$i")" \
		--peers "$(peers "$i")" "${following[@]}" >"$work/up-$i.log" 2>&1 &
	upstream_pids+=($!)
	pids+=($!)
done
export TRIAL_PASSWORD=trial-password
for i in 0 1 2; do
	"$program" host --id "host-$i" --data-centre "${centres[$i]}" --announce --platform-address "$platform" \
		--caller-address "$(caller "$i")" --peer-address "$(peer "$i")" --admin-address "$(admin "$i")" \
		--token-key trial-token-key-0123456789 >"$work/host-$i.log" 2>&1 &
	pids+=($!)
done

{
	echo 'Service = "trial"'
	echo 'Owner = "trial"'
	echo '[[Databases]]'
	echo 'Name = "orders"'
	echo 'Slots = 3'
	echo 'ConnectionLimit = 20'
	for i in 0 1 2; do
		echo '[[Databases.Upstreams]]'
		echo "ID = \"up-$i\""
		echo "DataCentre = \"${centres[$i]}\""
		echo "Address = \"$(upstream "$i")\""
	done
	echo '[[Callers]]'
	echo 'User = "clerk"'
	echo 'CredentialRef = "env:TRIAL_PASSWORD"'
	echo '[[Reads]]'
	echo 'Tables = ["catalogue"]'
	echo 'MaxAge = "10s"'
} >"$work/trial.toml"
sleep 2
"$program" publish --platform-address "$platform" --yes "$work/trial.toml"

echo "killing the primary's process during the load"
(sleep 8; kill -9 "${upstream_pids[0]}") &
pids+=($!)
"$program" load --service trial --user clerk --password "$TRIAL_PASSWORD" \
	--hosts "$(caller 0),$(caller 1),$(caller 2)" --admin "$(admin 0),$(admin 1),$(admin 2)" --callers 30 --mix consortium --think-time 10ms \
	--catalogue-max-age 10s --duration 15s --json
"$program" status --platform-address "$platform"
