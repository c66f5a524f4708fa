#include "savory/core/loading.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace savory;

namespace {

Configuration
MakeTwoVersionConfig(VersionState aSecond)
{
  Configuration config;
  config.mModels = { { .mName = "small",
                       .mVersions = { { "v1", VersionState::Serving, 0 },
                                      { "v2", aSecond, 0 } } } };
  return config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(loading)

// Guards against orders of two agents of one engine at the same time, an old
// one that was paused and its replacement, when the engine does not check
// fencing numbers.
BOOST_AUTO_TEST_CASE(orders_wait_without_fencing_numbers)
{
  Configuration config = MakeTwoVersionConfig(VersionState::Candidate);
  for (bool wait : { true, false }) {
    LoadingOptions options;
    options.mStartSpreadMs = 0;
    options.mWaitForFencing = wait;
    LoadOrderState loading;
    bool ordered = false;
    for (TimeMs now = 0; now < options.mFencingWaitMs; now += 500) {
      ordered =
        ordered ||
        NextLoadOrder(
          loading, options, config, { "small@v1" }, "runner-1", false, 0, now);
    }
    // Without the wait, an order is given before the fencing wait is over,
    // which shows that the check detects one.
    BOOST_TEST(ordered == !wait);
  }
}

// Guards against all agents of a fleet loading from the weight store at once.
BOOST_AUTO_TEST_CASE(fleet_spreads_its_load_orders)
{
  Configuration config = MakeTwoVersionConfig(VersionState::Candidate);
  LoadingOptions options;
  std::map<TimeMs, int> starts;
  constexpr int kHosts = 200;
  for (int host = 0; host < kHosts; ++host) {
    LoadOrderState loading;
    for (TimeMs now = 0; now <= options.mStartSpreadMs; now += 1000) {
      auto order = NextLoadOrder(loading,
                                 options,
                                 config,
                                 { "small@v1" },
                                 "runner-" + std::to_string(host),
                                 true,
                                 0,
                                 now);
      if (order) {
        BOOST_TEST(order->mTarget == "small@v2");
        starts[now] += 1;
        break;
      }
    }
  }
  int total = 0;
  for (const auto& [at, count] : starts) {
    total += count;
    // The mean is 10 starts per second; random variation may reach 3 times
    // that.
    BOOST_TEST(count <= 3 * kHosts * 1000 / options.mStartSpreadMs);
  }
  BOOST_TEST(total == kHosts);
}

// Guards against a version that is unloaded while its last requests run, and
// against an engine that is left without any version of its model.
BOOST_AUTO_TEST_CASE(withdrawn_versions_stay_loaded_for_grace_time)
{
  LoadingOptions options;
  Configuration config = MakeTwoVersionConfig(VersionState::Withdrawn);
  LoadOrderState loading;
  std::vector<std::string> loaded{ "small@v1", "small@v2" };
  auto at = [&](TimeMs aNow, const std::vector<std::string>& aLoaded) {
    return NextLoadOrder(
      loading, options, config, aLoaded, "runner-1", true, 0, aNow);
  };
  BOOST_TEST(!at(0, loaded).has_value());
  BOOST_TEST(!at(options.mWithdrawnGraceMs - 1, loaded).has_value());
  auto order = at(options.mWithdrawnGraceMs, loaded);
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->mAction == LoadAction::Unload));
  BOOST_TEST(order->mTarget == "small@v2");
  config.mModels[0].mVersions[0].mState = VersionState::Withdrawn;
  loading = {};
  BOOST_TEST(!at(0, { "small@v1" }).has_value());
  auto last = at(10 * options.mWithdrawnGraceMs, { "small@v1" });
  BOOST_TEST(!last.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
