#include "benchmarks.h"

namespace savory::bench {

void
BenchLimits(Results& /*aResults*/)
{
}

} // namespace savory::bench
