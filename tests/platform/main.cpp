#define BOOST_TEST_MODULE savory_platform
#include <boost/test/unit_test.hpp>
