#include "savory/core/config.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;
using nlohmann::json;

namespace {

json
ExampleDocument()
{
  std::ifstream file(SOURCE_DIR "/docs/examples/gulfway.json");
  return json::parse(file);
}

} // namespace

BOOST_AUTO_TEST_SUITE(config)

// Guards against fields that are parsed but not serialized, or the reverse:
// such a field would revert when an operator's tool writes the configuration
// back.
BOOST_AUTO_TEST_CASE(configuration_round_trips_through_json)
{
  auto config = ParseConfiguration(ExampleDocument());
  BOOST_REQUIRE(config.has_value());
  auto again = ParseConfiguration(ToJson(*config));
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(ToJson(*again) == ToJson(*config));
  BOOST_TEST(DiffConfiguration(*config, *again).empty());
}

// Guards against an invalid configuration that is accepted in part.
BOOST_AUTO_TEST_CASE(each_error_is_reported_with_its_path)
{
  json document = ExampleDocument();
  document["customers"][0]["allowed"].push_back("no-such-model");
  document["preset_in_force"] = "no-such-preset";
  for (auto& zone : document["zones"]) {
    zone["state"] = "out";
  }
  auto config = ParseConfiguration(document);
  BOOST_REQUIRE(!config.has_value());
  std::vector<std::string> paths;
  for (const auto& error : config.error()) {
    paths.push_back(error.mPath);
  }
  std::vector<std::string> expected{ "customers[0].allowed",
                                     "preset_in_force",
                                     "zones" };
  BOOST_TEST(paths == expected, boost::test_tools::per_element());
}

// Guards against a crash on a stored value of an unexpected JSON type.
BOOST_AUTO_TEST_CASE(any_json_is_parsed_or_rejected)
{
  bool passed = rc::check([](const std::string& aName, int aValue) {
    json document = ExampleDocument();
    auto keys = std::vector<std::string>();
    for (const auto& [key, unused] : document.items()) {
      keys.push_back(key);
    }
    auto key = *rc::gen::elementOf(keys);
    document[key] = *rc::gen::element(
      json(aValue), json(aName), json::array({ aValue }), json(), json(true));
    (void)ParseConfiguration(document);
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
