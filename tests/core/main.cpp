#define BOOST_TEST_MODULE savory_core
#include <boost/test/unit_test.hpp>
