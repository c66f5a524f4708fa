#include "savory/core/value_delta.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace savory;

namespace {

std::string
MakeDocument(int aRows, int aChanged)
{
  std::string text = "[";
  for (int row = 0; row < aRows; ++row) {
    text += R"({"name":"row-)" + std::to_string(row * 7919) + R"(","limit":)" +
            std::to_string(row == aChanged ? 1 : 2000) + "},";
  }
  return text + "]";
}

} // namespace

BOOST_AUTO_TEST_SUITE(value_delta)

// Guards against a cost of a change that grows with the document.
BOOST_AUTO_TEST_CASE(one_changed_row_of_a_long_document_is_short)
{
  std::string base = MakeDocument(20000, -1);
  for (int changed : { 0, 7000, 19999 }) {
    std::string value = MakeDocument(20000, changed);
    auto delta = MakeValueDelta(base, value);
    BOOST_REQUIRE(delta);
    BOOST_TEST(delta->size() < 1000U);
    BOOST_TEST((ApplyValueDelta(base, *delta) == value));
  }
}

RC_BOOST_PROP(any_value_is_restored_from_its_base_only,
              (std::string aBase, std::string aValue, std::string aOther))
{
  auto delta = MakeValueDelta(aBase, aValue);
  RC_ASSERT(delta.has_value());
  RC_ASSERT(ApplyValueDelta(aBase, *delta) == aValue);
  auto restored = ApplyValueDelta(aOther, *delta);
  RC_ASSERT(!restored || *restored == aValue);
}

// Guards against a value that is taken from another base than the sender's.
BOOST_AUTO_TEST_CASE(another_base_is_noticed)
{
  std::string base = MakeDocument(500, 3);
  auto delta = MakeValueDelta(base, MakeDocument(500, 4));
  BOOST_REQUIRE(delta);
  BOOST_TEST(!ApplyValueDelta(MakeDocument(500, 9), *delta));
  BOOST_TEST(!ApplyValueDelta("", *delta));
}

// Guards against bytes of another process that end this one or fill its memory.
BOOST_AUTO_TEST_CASE(malformed_deltas_are_refused)
{
  std::string base = MakeDocument(500, 3);
  std::string delta = *MakeValueDelta(base, MakeDocument(500, 4));
  for (std::size_t size = 0; size < delta.size(); ++size) {
    BOOST_TEST(!ApplyValueDelta(base, delta.substr(0, size)));
  }
  for (std::size_t at = 0; at < delta.size(); ++at) {
    std::string spoiled = delta;
    spoiled[at] = static_cast<char>(spoiled[at] ^ 0x41);
    (void)ApplyValueDelta(base, spoiled);
  }
  BOOST_TEST(!ApplyValueDelta(base, "no frame"));
  std::string longest(kMaxDeltaValueBytes, 'x');
  BOOST_TEST(MakeValueDelta("", longest).has_value());
  BOOST_TEST(!MakeValueDelta("", longest + "x"));
}

BOOST_AUTO_TEST_SUITE_END()
