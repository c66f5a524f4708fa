#include "benchmarks.h"

namespace savory::bench {

void
BenchZones(Results& /*aResults*/)
{
}

} // namespace savory::bench
