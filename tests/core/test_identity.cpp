#include "savory/core/identity.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(identity)

// Guards against accepting a session id that a caller forged or altered.
BOOST_AUTO_TEST_CASE(altered_session_ids_are_rejected)
{
  Configuration config;
  config.mSessionSecret = "secret";
  std::string session = SignSession(config, { "small", "v2" }, 7);
  auto binding = VerifySession(config, session);
  BOOST_REQUIRE(binding.has_value());
  BOOST_TEST(binding->mModel == "small");
  BOOST_TEST(binding->mVersion == "v2");
  for (std::size_t i = 0; i < session.size(); ++i) {
    std::string altered = session;
    altered[i] = altered[i] == '0' ? '1' : '0';
    BOOST_TEST(!VerifySession(config, altered).has_value());
  }
  config.mSessionSecret = "other";
  BOOST_TEST(!VerifySession(config, session).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
