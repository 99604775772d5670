#include "core/metrics.h"

#include "slopes/slopes.h"

#include <chrono>
#include <string>

namespace filbertgw::bench {

namespace {

using WallClock = std::chrono::steady_clock;

constexpr int operations = 100'000;

double nanosecondsEach(WallClock::time_point begin, int count)
{
    return std::chrono::duration<double, std::nano>(WallClock::now() - begin).count() / count;
}

/** \brief A third each of counters with a label, gauges and histograms, as a node has them. */
void measureSeries(const Emit &emit, std::size_t series)
{
    const std::size_t before = heapBytes();
    Metrics metrics;
    for (std::size_t i = 0; i < series; ++i) {
        const std::string name = "series_" + std::to_string(i);
        if (i % 3 == 0) {
            metrics.count(name + "_total", "type=\"answered\"");
        } else if (i % 3 == 1) {
            metrics.gauge(name, 1);
        } else {
            metrics.observe(name, std::chrono::milliseconds(20));
        }
    }
    const std::size_t bytes = heapBytes() - before;
    WallClock::time_point begin = WallClock::now();
    for (int i = 0; i < operations; ++i) {
        metrics.count("series_0_total", "type=\"answered\"");
    }
    const double countNs = nanosecondsEach(begin, operations);
    begin = WallClock::now();
    for (int i = 0; i < operations; ++i) {
        metrics.observe("series_2", std::chrono::milliseconds(20));
    }
    const double observeNs = nanosecondsEach(begin, operations);
    begin = WallClock::now();
    constexpr int scrapes = 20;
    std::size_t textBytes = 0;
    for (int i = 0; i < scrapes; ++i) {
        textBytes = metrics.text().size();
    }
    emit({{"slope", "metrics_series"},
          {"size", series},
          {"bytes", static_cast<double>(bytes) / static_cast<double>(series)},
          {"bytes_total", bytes},
          {"ns", countNs},
          {"ns_observe", observeNs},
          {"ns_scrape", nanosecondsEach(begin, scrapes)},
          {"scrape_bytes", textBytes}});
}

const SlopeSet metricsSlopes("metrics", [](const Emit &emit) {
    for (std::size_t series : {30, 60, 120}) {
        measureSeries(emit, series);
    }
});

} // namespace

} // namespace filbertgw::bench
