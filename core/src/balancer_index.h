#pragma once

#include "savory/core/balancer.h"

namespace savory {

// The key of the list of rows that serve a version of a pool; an empty version
// means the whole pool.
std::uint64_t
IndexKey(std::string_view aPool, std::string_view aVersion);

// Rebuilds the lists of rows that may receive requests, by pool and by version.
void
RebuildIndex(Balancer& aBalancer, const BalancerOptions& aOptions);

// Records a row as the most recent holder of a prefix.
void
RecordPrefix(Balancer& aBalancer,
             const BalancerOptions& aOptions,
             std::uint64_t aHash,
             std::uint32_t aRow,
             TimeMs aNowMs);

// The holders of a prefix; null when none is known.
const PrefixHolders*
FindPrefix(const Balancer& aBalancer, std::uint64_t aHash);

} // namespace savory
