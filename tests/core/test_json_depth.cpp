#include "savory/core/json_depth.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace savory;

BOOST_AUTO_TEST_SUITE(json_depth)

// Guards against a document that exhausts the stack when it is written.
BOOST_AUTO_TEST_CASE(depth_is_that_of_open_arrays_and_objects)
{
  BOOST_TEST(!IsNestedDeeper("", 0));
  BOOST_TEST(!IsNestedDeeper("1", 0));
  BOOST_TEST(IsNestedDeeper("[]", 0));
  BOOST_TEST(!IsNestedDeeper("[[],{},[],{\"a\":[]}]", 3));
  BOOST_TEST(IsNestedDeeper("[[],{},[],{\"a\":[]}]", 2));
  BOOST_TEST(IsNestedDeeper(std::string(300000, '['), 64));
  // Closing brackets without an open one do not count as depth.
  BOOST_TEST(IsNestedDeeper("]]]][[[", 2));
}

// Guards against a prompt that is refused for the brackets in its text.
BOOST_AUTO_TEST_CASE(brackets_in_text_do_not_count)
{
  BOOST_TEST(!IsNestedDeeper(R"(["[[[{{{", "\"[[[", "\\", "]"])", 1));
  BOOST_TEST(IsNestedDeeper(R"(["\\", [[]]])", 2));
  BOOST_TEST(!IsNestedDeeper(R"("\)", 0));
}

BOOST_AUTO_TEST_SUITE_END()
