package dfload

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"
)

// FetchRecord reads the orders at the present primary through a host. What was
// cut from the log of a replaced primary does not show.
func FetchRecord(ctx context.Context, target Target) (Record, error) {
	config, err := target.config(target.Hosts[0], "checker")
	if err != nil {
		return Record{}, err
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return Record{}, eris.Wrap(err, "load: connect for the check")
	}
	defer func() { _ = conn.Close(ctx) }()
	// A transaction that may write runs at the primary.
	tx, err := conn.Begin(ctx)
	if err != nil {
		return Record{}, eris.Wrap(err, "load: check")
	}
	defer func() { _ = tx.Rollback(ctx) }()
	rows, err := tx.Query(ctx, "SELECT id, quantity FROM orders")
	if err != nil {
		return Record{}, eris.Wrap(err, "load: check")
	}
	defer rows.Close()
	record := Record{Surviving: make(map[int64]int), Quantities: make(map[int64]int64)}
	for rows.Next() {
		var id int64
		var quantity int32
		if err := rows.Scan(&id, &quantity); err != nil {
			return Record{}, eris.Wrap(err, "load: check")
		}
		record.Surviving[id]++
		record.Quantities[id] = int64(quantity)
	}
	return record, eris.Wrap(rows.Err(), "load: check")
}

// Apply adds the verdict of a check to the report.
func (r *Report) Apply(verdict Verdict) {
	r.LostWrites += verdict.LostWrites
	r.DoubledWrites += verdict.DoubledWrites
	r.NotRunButRan += verdict.NotRunButRan
	r.ReplacedPrimaryAcks += verdict.ReplacedPrimaryAcks
}

// scrapeTimeout bounds the read of one host's metrics.
const scrapeTimeout = 2 * time.Second

// Scrape sums the counters of hosts by name, without labels. A counter with the
// label rung is also summed as name/rung.
func Scrape(ctx context.Context, admins []string) (map[string]float64, error) {
	sums := make(map[string]float64)
	client := &http.Client{Timeout: scrapeTimeout}
	for _, admin := range admins {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
		if err != nil {
			return nil, eris.Wrapf(err, "load: metrics of %s", admin)
		}
		response, err := client.Do(request)
		if err != nil {
			return nil, eris.Wrapf(err, "load: metrics of %s", admin)
		}
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			addSample(sums, scanner.Text())
		}
		_ = response.Body.Close()
	}
	return sums, nil
}

// addSample adds one line of the exposition format.
func addSample(sums map[string]float64, line string) {
	series, text, found := strings.Cut(line, " ")
	if !found {
		return
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return
	}
	name, labels, _ := strings.Cut(series, "{")
	sums[name] += value
	if _, rung, found := strings.Cut(labels, `rung="`); found {
		sums[name+"/"+strings.TrimRight(rung, `"}`)] += value
	}
}

// AddCounters fills the shares of reads from the growth of the hosts' counters.
func (r *Report) AddCounters(before, after map[string]float64) {
	growth := func(name string) float64 { return after[name] - before[name] }
	reads := growth("dragonflygrade_reads_total")
	r.ReplicaReads = int64(growth("dragonflygrade_replica_reads_total"))
	if reads > 0 {
		r.ReplicaReadShare = float64(r.ReplicaReads) / reads
		r.LocalReadShare = growth("dragonflygrade_local_reads_total") / reads
	}
	r.Rungs = make(map[string]int64)
	for rung, name := range RungNames {
		if rung > 0 {
			r.Rungs[name] = int64(growth(fmt.Sprintf("dragonflygrade_reads_by_rung_total/%d", rung)))
		}
	}
}

// RungNames are the steps of the read ladder as reports name them.
var RungNames = [...]string{"", "Token", "Known", "Peers", "Barrier", "Primary"}
