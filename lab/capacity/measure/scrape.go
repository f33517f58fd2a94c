package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

var (
	scrapeTime  = quantity{"time of a scrape", "destinations", "s"}
	scrapeBytes = quantity{"bytes of a scrape", "destinations", "bytes"}
	scrapeCPU   = quantity{"processor time of a scrape", "destinations", "s"}
)

// measureScrape measures the cost of serving a forwarder's metrics once.
func measureScrape(t *trial) error {
	return t.sweep("the forwarder", 1, linearTime, sizes(t.Largest), func(size int) error {
		p, server, err := t.startListed(&configuration{destinations: size, metrics: true})
		if err != nil {
			return err
		}
		defer server.close()
		defer p.kill()
		if err := t.pause(settlingTime); err != nil {
			return err
		}
		before, err := processorTimeOf(p.pid())
		if err != nil {
			return err
		}
		length, scrapes := 0, 0
		took, err := t.bestOf(func() (float64, error) {
			start := time.Now()
			n, err := scrape(t.ctx, p.metrics)
			length = n
			scrapes++
			return time.Since(start).Seconds(), err
		})
		if err != nil {
			return err
		}
		after, err := processorTimeOf(p.pid())
		if err != nil {
			return err
		}
		t.record(scrapeTime, float64(size), took)
		t.record(scrapeBytes, float64(size), float64(length))
		t.record(scrapeCPU, float64(size), (after-before)/float64(scrapes))
		return nil
	})
}

// scrape reads a forwarder's metrics and returns their length in bytes.
func scrape(ctx context.Context, address string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("scrape of the metrics: status %s", response.Status)
	}
	return int(n), err
}
