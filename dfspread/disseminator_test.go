package dfspread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfmember"
)

// node is a simulated host.
type node struct {
	host         dfmember.Host
	disseminator *Disseminator
	adoption     *dfconfig.Adoption
	// Until pausedUntil the host does not run, until cutUntil its messages are lost.
	pausedUntil, cutUntil dfclock.Millis
	// deferred has what arrived during a pause.
	deferred []func()
}

// network simulates the hosts, the platform's head and the messages in flight.
type network struct {
	now    dfclock.Millis
	random *rand.Rand
	nodes  []*node
	head   dfconfig.Snapshot
	// documents are the platform's documents by address.
	documents map[string][]byte
	// dataCentreCutUntil and platformCutUntil have the instants until which a data
	// centre is disconnected from the others and from the platform.
	dataCentreCutUntil, platformCutUntil map[string]dfclock.Millis
	queue                                deliveries
	sequence                             int
	// highestVersions has the highest version seen at each host.
	highestVersions map[string]uint64
}

type delivery struct {
	due      dfclock.Millis
	sequence int
	run      func()
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	return d[i].due < d[j].due || d[i].due == d[j].due && d[i].sequence < d[j].sequence
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newNetwork(seed uint64, centres, perCentre int) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 3)), documents: make(map[string][]byte), now: 1000,
		dataCentreCutUntil: make(map[string]dfclock.Millis), platformCutUntil: make(map[string]dfclock.Millis),
		highestVersions: make(map[string]uint64),
	}
	var hosts []dfmember.Host
	for i := range centres * perCentre {
		hosts = append(hosts, dfmember.Host{ID: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%centres)})
	}
	for _, host := range hosts {
		created := &node{
			host: host, disseminator: NewDisseminator(host.ID, rand.New(rand.NewPCG(seed, uint64(len(n.nodes))))),
			adoption: dfconfig.NewAdoption(),
		}
		n.nodes = append(n.nodes, created)
	}
	for _, created := range n.nodes {
		n.step(created, LiveHosts{hosts})
	}
	return n
}

// publish publishes a version with one changed service.
func (n *network) publish(t testing.TB) {
	service := dfconfig.Service{
		Name: fmt.Sprintf("s%d", n.random.IntN(30)), SessionMaxAge: 1 + n.now,
		Databases: []dfconfig.Database{{Name: "m", Slots: 1, ConnectionLimit: 3, Upstreams: []dfconfig.Upstream{{ID: "a"}}}},
	}
	document, err := dfconfig.Encode(service)
	require.NoError(t, err)
	n.documents[dfconfig.ContentAddress(document)] = document
	next, err := n.head.WithService(service)
	require.NoError(t, err)
	n.head = next.Next("ada", fmt.Sprintf("attempt%d", n.now))
}

// send calls run after the one-way latency of a message between two hosts. lost is
// true if the message does not arrive.
func (n *network) send(from, to *node, run func(lost bool)) {
	latency := dfclock.Millis(1 + n.random.IntN(8))
	lost := n.now < from.cutUntil || n.now < to.cutUntil
	if from.host.DataCentre != to.host.DataCentre {
		lost = lost || n.now < n.dataCentreCutUntil[from.host.DataCentre] || n.now < n.dataCentreCutUntil[to.host.DataCentre]
	}
	n.after(latency, func() { run(lost) })
}

func (n *network) after(duration dfclock.Millis, run func()) {
	n.sequence++
	heap.Push(&n.queue, delivery{n.now.Add(duration), n.sequence, run})
}

// whenRunning calls run at once, or after the pause if the host is paused.
func (n *network) whenRunning(host *node, run func()) {
	if n.now < host.pausedUntil {
		host.deferred = append(host.deferred, run)
		return
	}
	run()
}

func (n *network) node(id string) *node {
	for _, host := range n.nodes {
		if host.host.ID == id {
			return host
		}
	}
	return nil
}

// step passes an event to a host and carries out the resulting actions.
func (n *network) step(host *node, event Event) {
	for _, action := range host.disseminator.Step(n.now, event) {
		switch action := action.(type) {
		case PollHead:
			unreachable := n.now < host.cutUntil || n.now < n.platformCutUntil[host.host.DataCentre]
			n.after(10, func() { n.whenRunning(host, func() { n.poll(host, unreachable) }) })
		case Announce:
			peer := n.node(action.To.ID)
			n.step(host, Traffic{Sent: callBytes, Received: callBytes})
			n.step(peer, Traffic{Sent: callBytes, Received: callBytes})
			n.send(host, peer, func(lost bool) {
				n.answerAnnouncement(host, lost, func() AnnouncementAnswered {
					return AnnouncementAnswered{To: action.To.ID, OK: !lost, Version: action.Version}
				})
				if !lost {
					n.whenRunning(peer, func() { n.step(peer, AnnouncementReceived{host.host.ID, action.Version, action.Hops}) })
				}
			})
		case Pull:
			n.pull(host, n.node(action.To.ID), action)
		}
	}
}

// answerAnnouncement passes the answer to a host after the latency or a timeout.
func (n *network) answerAnnouncement(host *node, lost bool, event func() AnnouncementAnswered) {
	duration := dfclock.Millis(5)
	if lost {
		duration = 100
	}
	n.after(duration, func() { n.whenRunning(host, func() { n.step(host, event()) }) })
}

func (n *network) poll(host *node, unreachable bool) {
	if unreachable {
		n.step(host, HeadReadFailed{})
		return
	}
	if n.head.Version() > 0 {
		n.apply(host, host.adoption.OfferIndex(n.head.Index()))
		for _, address := range host.adoption.Missing() {
			n.apply(host, host.adoption.Deliver(n.documents[address]))
		}
	}
	n.step(host, HeadRead{n.head.Version()})
}

func (n *network) apply(host *node, actions []dfconfig.Action) {
	for _, action := range actions {
		if adopt, ok := action.(dfconfig.Adopt); ok {
			n.step(host, Adopted{adopt.Snapshot.Version()})
		}
	}
}

func (n *network) pull(host, peer *node, action Pull) {
	n.send(host, peer, func(lost bool) {
		if lost {
			n.after(100, func() { n.whenRunning(host, func() { n.step(host, PullAnswered{Announced: action.Announced}) }) })
			return
		}
		n.whenRunning(peer, func() {
			version := peer.adoption.Applied().Version()
			var payload []byte
			if version > action.Version {
				payload, _ = peer.adoption.Difference(action.Version).Encode()
			}
			n.step(peer, Traffic{Sent: callBytes + len(payload)})
			n.send(peer, host, func(lost bool) {
				n.whenRunning(host, func() { n.receive(host, payload, PullAnswered{action.Announced, version, !lost}) })
			})
		})
	})
}

// callBytes is the size of a small message with its headers, rounded up.
const callBytes = 200

func (n *network) receive(host *node, payload []byte, event PullAnswered) {
	n.step(host, Traffic{Received: callBytes + len(payload)})
	if difference, err := dfconfig.DecodeDifference(payload); event.OK && len(payload) > 0 && err == nil {
		n.apply(host, host.adoption.OfferDifference(difference))
	}
	n.step(host, event)
}

// run advances the clock by duration, with a tick of every host each 50 ms.
func (n *network) run(t testing.TB, duration dfclock.Millis) {
	for end := n.now.Add(duration); n.now < end; n.now++ {
		for len(n.queue) > 0 && n.queue[0].due <= n.now {
			heap.Pop(&n.queue).(delivery).run()
		}
		if n.now%50 != 0 {
			continue
		}
		for _, host := range n.nodes {
			if n.now < host.pausedUntil {
				continue
			}
			deferred := host.deferred
			host.deferred = nil
			for _, run := range deferred {
				run()
			}
			n.step(host, Tick{})
			version := host.adoption.Applied().Version()
			if version < n.highestVersions[host.host.ID] {
				require.Fail(t, "version decreased", "%s to %d", host.host.ID, version)
			}
			n.highestVersions[host.host.ID] = version
		}
	}
}

// hostsBehind returns the hosts that do not have the newest version.
func (n *network) hostsBehind() (ids []string) {
	for _, host := range n.nodes {
		if host.adoption.Applied().Version() < n.head.Version() {
			ids = append(ids, host.host.ID)
		}
	}
	return ids
}

func seeds(t *testing.T) uint64 {
	text := os.Getenv("DRAGONFLYGRADE_SEEDS")
	if text == "" {
		return 200
	}
	count, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err)
	return count
}

// TestHealing guards against versions that decrease and against hosts that are still
// behind one second after the last of several random pauses and partitions has ended.
func TestHealing(t *testing.T) {
	for seed := range seeds(t) {
		n := newNetwork(seed, 3, 6)
		for range 20 {
			n.publish(t)
			until := n.now.Add(dfclock.Millis(n.random.IntN(8000)))
			host := n.nodes[n.random.IntN(len(n.nodes))]
			switch n.random.IntN(4) {
			case 0:
				host.pausedUntil = until
			case 1:
				host.cutUntil = until
			case 2:
				n.dataCentreCutUntil[host.host.DataCentre] = until
			default:
				n.platformCutUntil[host.host.DataCentre] = until
			}
			n.run(t, dfclock.Millis(n.random.IntN(1000)))
		}
		healedAt := n.now
		for _, host := range n.nodes {
			healedAt = max(healedAt, host.pausedUntil, host.cutUntil, n.dataCentreCutUntil[host.host.DataCentre], n.platformCutUntil[host.host.DataCentre])
		}
		n.run(t, healedAt-n.now+dfclock.Second)
		require.Empty(t, n.hostsBehind(), "seed %d", seed)
	}
}

// TestHealingFault injects a permanent partition of one host and expects the check of
// TestHealing to report that host.
func TestHealingFault(t *testing.T) {
	n := newNetwork(1, 3, 6)
	n.nodes[4].cutUntil = dfclock.Never
	n.publish(t)
	n.run(t, 5*dfclock.Second)
	require.Equal(t, []string{"h4"}, n.hostsBehind())
}

// TestPlatformDown guards against a host that starts during a platform outage and
// does not get the version that its peers have.
func TestPlatformDown(t *testing.T) {
	n := newNetwork(2, 3, 6)
	n.publish(t)
	n.run(t, 2*dfclock.Second)
	require.Empty(t, n.hostsBehind())
	for _, host := range n.nodes {
		n.platformCutUntil[host.host.DataCentre] = dfclock.Never
	}
	fresh := n.nodes[0]
	fresh.adoption = dfconfig.NewAdoption()
	fresh.disseminator = NewDisseminator(fresh.host.ID, rand.New(rand.NewPCG(1, 1)))
	n.highestVersions = make(map[string]uint64)
	all := []dfmember.Host{fresh.host}
	for _, host := range n.nodes[1:] {
		all = append(all, host.host)
	}
	n.step(fresh, LiveHosts{all})
	n.run(t, dfclock.Second)
	require.Empty(t, n.hostsBehind())
}

// TestConvergence guards against versions that take longer than the target of 4 s to
// reach all hosts, and against more than the 2 KB/s that a host may use for all control
// traffic. It logs both for 18 data centres.
func TestConvergence(t *testing.T) {
	n := newNetwork(5, 18, 6)
	n.run(t, 2*dfclock.Second)
	slowest, started := dfclock.Millis(0), n.now
	for range 20 {
		n.publish(t)
		from := n.now
		for len(n.hostsBehind()) > 0 {
			n.run(t, 10)
			require.Less(t, n.now.Since(from), 4*dfclock.Second)
		}
		slowest = max(slowest, n.now.Since(from))
		n.run(t, 10*dfclock.Second)
	}
	bytes, calls := uint64(0), uint64(0)
	for _, host := range n.nodes {
		bytes += host.disseminator.Stats().Sent + host.disseminator.Stats().Received
		calls += host.disseminator.Stats().Calls
	}
	perHost := float64(bytes) / float64(len(n.nodes)) / (float64(n.now.Since(started)) / 1000)
	t.Logf("slowest %s, %.0f B/s and %.2f calls/s per host", slowest, perHost,
		float64(calls)/float64(len(n.nodes))/(float64(n.now.Since(started))/1000))
	require.Less(t, perHost, 2048.0)
}

// targets returns the hosts that actions pull from and those they announce to.
func targets(actions []Action) (pulled, announced []string) {
	for _, action := range actions {
		switch action := action.(type) {
		case Pull:
			pulled = append(pulled, action.To.ID)
		case Announce:
			announced = append(announced, action.To.ID)
		}
	}
	return pulled, announced
}

// TestSteps guards against a host that does not pull after a pause, a poller that
// pulls from its own disconnected data centre, and an announcement that is dropped
// after one failure or retried indefinitely.
func TestSteps(t *testing.T) {
	var hosts []dfmember.Host
	for i := range 8 {
		hosts = append(hosts, dfmember.Host{ID: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i/7)})
	}
	d := NewDisseminator("h0", rand.New(rand.NewPCG(1, 1)))
	now := dfclock.Millis(1000)
	pulled, _ := targets(d.Step(now, LiveHosts{hosts}))
	require.Len(t, pulled, 1)
	for range minConsecutiveAnswers {
		d.Step(now, PullAnswered{OK: true})
	}
	pulled, _ = targets(d.Step(now+100, Tick{}))
	require.Empty(t, pulled)
	pulled, _ = targets(d.Step(now+100+pollInterval+1, Tick{}))
	require.Len(t, pulled, 1)
	d.Step(now+700, HeadReadFailed{})
	for range 20 {
		now += 5000
		d.Step(now, PullAnswered{OK: true})
		pulled, _ = targets(d.Step(now+5000, Tick{}))
		require.Equal(t, []string{"h7"}, pulled)
		now += 5000
	}
	total := 0
	for _, id := range []string{"h0", "h1", "h2", "h3", "h4", "h5", "h6"} {
		d = NewDisseminator(id, rand.New(rand.NewPCG(1, 1)))
		d.Step(now, LiveHosts{hosts})
		_, announced := targets(d.Step(now, Adopted{9}))
		require.LessOrEqual(t, len(announced), fanOut)
		total += len(announced)
		if len(announced) == 0 {
			continue
		}
		attempts := 0
		for i := range 100 * retryInterval / 50 {
			_, retried := targets(d.Step(now+i*50, AnnouncementAnswered{To: announced[0]}))
			attempts += len(retried)
		}
		require.GreaterOrEqual(t, attempts, maxAnnounceAttempts-1)
		require.LessOrEqual(t, attempts, maxAnnounceAttempts*len(announced))
	}
	require.Equal(t, 7-pollersPerDataCentre, total)
}
