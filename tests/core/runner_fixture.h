#pragma once

#include "savory/core/runners.h"

#include <string>
#include <utility>

namespace savory {

inline Registration
MakeRegistration(const std::string& aId,
                 const std::string& aZone = "z1",
                 const std::string& aService = "llm")
{
  Registration registration;
  registration.mId = aId;
  registration.mService = aService;
  registration.mAddress = "10.0.0.1:80";
  registration.mZone = aZone;
  registration.mVersion = "v1";
  registration.mSlots = 8;
  registration.mStartedWallMs = 1000;
  return registration;
}

struct RunnerFixture
{
  RunnerSet mSet;
  RouteTable mTable;
  std::int64_t mRevision = 0;

  RunnerFixture()
  {
    ServiceInfo service;
    service.mName = "llm";
    service.mColdPerSecond = 5;
    service.mColdStartMs = 3000;
    mTable.mServices["llm"] = service;
  }

  RunnerState& Add(const Registration& aRegistration, TimeMs aNowMs = 0)
  {
    ApplyRegistration(mSet, aRegistration, { 0, ++mRevision }, aNowMs);
    return mSet.mRunners.at(aRegistration.mId);
  }

  tl::expected<Placement, PlacementFailure> Place(PlacementRequest aRequest,
                                                  TimeMs aNowMs = 0)
  {
    aRequest.mService = "llm";
    return PlaceRequest(mSet, mTable, aRequest, aNowMs);
  }
};

inline PlacementRequest
MakeRequest(std::uint64_t aPart, std::int64_t aShared = 10000)
{
  PlacementRequest request;
  request.mModel = "m";
  request.mSharedParts = { { aPart, aShared } };
  request.mUnsharedTokens = 100;
  request.mMsPerToken = 0.05;
  request.mFixedMs = 20;
  request.mZone = "z1";
  return request;
}

} // namespace savory
