#pragma once

#include "savory/core/balancer.h"

namespace savory {

// Key of the list of rows that serve a version of a pool; an empty version
// stands for the whole pool.
std::uint64_t
IndexKey(std::string_view aPool, std::string_view aVersion);

// Lists the rows that may receive work, by pool and by version.
void
RebuildIndex(Balancer& aBalancer, const BalancerOptions& aOptions);

// Records a row as the latest holder of a prefix.
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
