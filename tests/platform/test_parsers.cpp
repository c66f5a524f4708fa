#include "savory/platform/backend.h"
#include "savory/platform/base64.h"
#include "savory/platform/host_list.h"
#include "savory/platform/rating.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;
using nlohmann::json;

namespace {

json
ValidHosts()
{
  return json::parse(
    R"({"hosts":[{"name":"h1","role":"agent","zone":"z","inner":"127.0.0.1:1",
       "admin":"127.0.0.1:0","state":"live"}]})");
}

json
ValidLoad()
{
  return json::parse(
    R"({"instance":"i","uptime_ms":5,"running":1,"queued":2,"tokens_held":3,
       "token_capacity":4,"max_running":5,"versions":["m@v1"],"warm":false})");
}

// A value that is invalid for every field of the documents above.
json
InvalidValue()
{
  return *rc::gen::element<json>(json(nullptr),
                                 json(-1),
                                 json(1e300),
                                 json(18446744073709551615ull),
                                 json(0.5),
                                 json::array({ 1 }),
                                 json::object());
}

} // namespace

BOOST_AUTO_TEST_SUITE(parsers)

// Guards against a crash or an exception on malformed input.
BOOST_AUTO_TEST_CASE(arbitrary_text_is_an_error)
{
  bool held = rc::check([](const std::string& aText) {
    RC_ASSERT(!ParseHostList(aText).has_value());
    RC_ASSERT(!ParseBackendLoad(aText).has_value());
    RC_ASSERT(!ParseRating(200, aText).has_value());
    auto endpoint = ParseEndpoint(aText);
    if (endpoint) {
      RC_ASSERT(endpoint->mPort >= 0 && endpoint->mPort <= 65535);
    }
    UsageReader reader;
    reader.mStream = *rc::gen::arbitrary<bool>();
    ReadUsage(reader, aText);
    FinishUsage(reader);
    RC_ASSERT(!reader.mHasUsage);
  });
  BOOST_TEST(held);
}

// Guards against an invalid field that is ignored, and against a number that is
// converted although it is out of range.
BOOST_AUTO_TEST_CASE(wrong_or_missing_field_is_an_error)
{
  BOOST_TEST(ParseHostList(ValidHosts().dump()).has_value());
  BOOST_TEST(ParseBackendLoad(ValidLoad().dump()).has_value());
  bool held = rc::check([] {
    json hosts = ValidHosts();
    json load = ValidLoad();
    bool erase = *rc::gen::arbitrary<bool>();
    for (json* object : { &hosts["hosts"][0], &load }) {
      auto index = *rc::gen::inRange<std::size_t>(0, object->size());
      auto field = std::next(object->begin(), static_cast<long>(index));
      if (erase) {
        object->erase(field);
      } else {
        *field = InvalidValue();
      }
    }
    RC_ASSERT(!ParseHostList(hosts.dump()).has_value());
    // 2^64 - 1 is out of range for all fields here.
    RC_ASSERT(!ParseBackendLoad(load.dump()).has_value());
  });
  BOOST_TEST(held);
}

// Guards against a list that is accepted with a duplicate host or an unknown
// value.
BOOST_AUTO_TEST_CASE(host_list_with_one_invalid_host_is_refused)
{
  json twice = ValidHosts();
  twice["hosts"].push_back(twice["hosts"][0]);
  BOOST_TEST(!ParseHostList(twice.dump()).has_value());
  for (const char* field : { "role", "state", "inner", "admin", "name" }) {
    json hosts = ValidHosts();
    hosts["hosts"].push_back(hosts["hosts"][0]);
    hosts["hosts"][1]["name"] = "h2";
    BOOST_TEST(ParseHostList(hosts.dump()).has_value());
    hosts["hosts"][1][field] = "";
    BOOST_TEST(!ParseHostList(hosts.dump()).has_value(), field);
  }
}

// Guards against incomplete addresses and ports that overflow.
BOOST_AUTO_TEST_CASE(endpoints_are_parsed_strictly)
{
  struct Row
  {
    const char* mText;
    bool mValid;
  };
  const Row rows[] = {
    { "127.0.0.1:80", true },
    { "127.0.0.1:0", true },
    { "127.0.0.1:65535", true },
    { "127.0.0.1:65536", false },
    { "127.0.0.1:-1", false },
    { "127.0.0.1:", false },
    { ":80", false },
    { "127.0.0.1", false },
    { "127.0.0.1:8x", false },
    { "127.0.0.1: 80", false },
    { "localhost:80", false },
    { "1.2.3:80", false },
    { "", false },
  };
  for (const auto& row : rows) {
    auto endpoint = ParseEndpoint(row.mText);
    BOOST_TEST(endpoint.has_value() == row.mValid, row.mText);
    if (endpoint) {
      BOOST_TEST(ToString(*endpoint) == row.mText);
    }
  }
}

// Guards against a score outside [0, 1] and against a pending rating that is
// taken for a score.
BOOST_AUTO_TEST_CASE(ratings_are_parsed_strictly)
{
  BOOST_TEST(ParseRating(202, "")->mPending);
  BOOST_TEST(ParseRating(200, R"({"score":0.25})")->mScore == 0.25);
  for (const char* text : { R"({"score":1.01})",
                            R"({"score":-0.1})",
                            R"({"score":"1"})",
                            R"({"score":null})",
                            R"({})",
                            "[]" }) {
    BOOST_TEST(!ParseRating(200, text).has_value(), text);
  }
  BOOST_TEST(!ParseRating(500, R"({"score":1})").has_value());
}

// Guards against usage or an end of stream that is missed when the bytes are
// split at an arbitrary place.
BOOST_AUTO_TEST_CASE(usage_is_read_with_any_split)
{
  bool held = rc::check([](bool aStream, bool aCarriageReturns) {
    auto input = *rc::gen::inRange<std::int64_t>(0, 1000000);
    auto output = *rc::gen::inRange<std::int64_t>(0, 1000000);
    json usage = { { "prompt_tokens", input },
                   { "completion_tokens", output } };
    std::string end = aCarriageReturns ? "\r\n\r\n" : "\n\n";
    std::string text = json({ { "usage", usage } }).dump();
    if (aStream) {
      text = "data: {\"usage\":null}" + end + ": comment" + end +
             "data:" + text + end + "data: [DONE]" + end;
    }
    UsageReader reader;
    reader.mStream = aStream;
    while (!text.empty()) {
      auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
      ReadUsage(reader, text.substr(0, size));
      text.erase(0, size);
    }
    FinishUsage(reader);
    RC_ASSERT(reader.mHasUsage);
    RC_ASSERT(reader.mUsage.mInputTokens == input);
    RC_ASSERT(reader.mUsage.mOutputTokens == output);
    RC_ASSERT(reader.mSawEnd == aStream);
  });
  BOOST_TEST(held);
}

// Guards against unbounded memory use for a line without an end, and against
// missing the usage that follows it.
BOOST_AUTO_TEST_CASE(overlong_event_is_skipped)
{
  UsageReader reader;
  reader.mStream = true;
  std::string part(100000, 'x');
  for (int index = 0; index < 100; ++index) {
    ReadUsage(reader, part);
    BOOST_TEST(reader.mPending.size() <= 1024u * 1024);
  }
  ReadUsage(reader, "\ndata: {\"usage\":{\"prompt_tokens\":1,");
  ReadUsage(reader, "\"completion_tokens\":2}}\n\n");
  BOOST_TEST(reader.mHasUsage);
  BOOST_TEST(reader.mUsage.mOutputTokens == 2);
}

// Guards against bytes that change in a base64 round trip.
BOOST_AUTO_TEST_CASE(base64_round_trip)
{
  bool held = rc::check([](const std::string& aBytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(aBytes)) == aBytes);
    (void)DecodeBase64(aBytes);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
