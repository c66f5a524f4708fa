#include "savory/core/explain.h"
#include "savory/core/metrics.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against output that a scraper rejects or misreads: label values that
// are not escaped, and buckets that are not cumulative or exclude a value equal
// to their bound.
BOOST_AUTO_TEST_CASE(text_conforms_to_exposition_format)
{
  Metrics metrics;
  auto counter = metrics.Counter("requests_total",
                                 "Requests\nby \\ customer",
                                 { { "customer", "a\"b\\c\nd" } });
  metrics.Add(counter);
  metrics.Add(
    metrics.Counter("requests_total", "", { { "customer", "a\"b\\c\nd" } }), 2);
  metrics.Set(metrics.Gauge("held bytes", "Held"), -0.5);
  auto latency =
    metrics.Histogram("ttft_seconds", "First token", { { "p", "x" } });
  for (double seconds : { 0., 0.0005, 0.81, 0.8101, 500. }) {
    metrics.Observe(latency, seconds);
  }
  std::string text = metrics.ToText();
  for (const char* line :
       { "# HELP requests_total Requests\\nby \\\\ customer\n",
         "# TYPE requests_total counter\n",
         "requests_total{customer=\"a\\\"b\\\\c\\nd\"} 3\n",
         "# TYPE held_bytes gauge\nheld_bytes -0.5\n",
         "# TYPE ttft_seconds histogram\n",
         "ttft_seconds_bucket{p=\"x\",le=\"0.0005\"} 2\n",
         "ttft_seconds_bucket{p=\"x\",le=\"0.6\"} 2\n",
         "ttft_seconds_bucket{p=\"x\",le=\"0.81\"} 3\n",
         "ttft_seconds_bucket{p=\"x\",le=\"1\"} 4\n",
         "ttft_seconds_bucket{p=\"x\",le=\"120\"} 4\n",
         "ttft_seconds_bucket{p=\"x\",le=\"+Inf\"} 5\n",
         "ttft_seconds_sum{p=\"x\"} 501.6206\n",
         "ttft_seconds_count{p=\"x\"} 5\n" }) {
    BOOST_TEST(text.find(line) != std::string::npos, line << " in\n" << text);
  }
}

// Guards against label values chosen by callers that exhaust the memory.
BOOST_AUTO_TEST_CASE(series_per_name_are_bounded)
{
  Metrics metrics;
  for (std::size_t i = 0; i < kMaxSeriesPerName + 100; ++i) {
    metrics.Add(
      metrics.Counter("c_total", "", { { "id", std::to_string(i) } }));
  }
  BOOST_TEST(metrics.ToText().find("c_total{overflow=\"true\"} 100\n") !=
             std::string::npos);
}

// Guards against a log that grows without bound, and against one that removes
// the newest request instead of the oldest.
BOOST_AUTO_TEST_CASE(explanations_are_bounded_and_complete)
{
  ExplainLog log;
  log.mCapacity = 3;
  for (int i = 0; i < 5; ++i) {
    Decision decision;
    decision.mKind = "plan";
    decision.mTimeMs = 100 + i;
    decision.mOutcome = "small@v1";
    decision.mCandidates.resize(kMaxCandidates + 2);
    decision.mCandidates[0] = { "large", CandidateResult::Refused, 2, "dear" };
    AddDecision(log, "r" + std::to_string(i), "c", decision);
  }
  for (std::size_t i = 0; i < 2 * kMaxDecisions; ++i) {
    AddDecision(log, "r4", "c", {});
  }
  BOOST_TEST(!FindExplanation(log, "r1"));
  BOOST_REQUIRE(FindExplanation(log, "r4"));
  BOOST_TEST(log.mById.size() == 3);
  auto json = ToJson(*FindExplanation(log, "r4"));
  BOOST_TEST(json["decisions"].size() == kMaxDecisions);
  BOOST_TEST(json["decisions"][0]["candidates"][0]["reason"] == "dear");
  BOOST_TEST(json["decisions"][0]["candidates"][0]["fate"] == "refused");
  BOOST_TEST(json["truncated"] == kMaxDecisions + 3);
  BOOST_TEST(RecentRequests(log, 1).at(0) == "r4");
}

BOOST_AUTO_TEST_SUITE_END()
