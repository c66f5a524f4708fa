#include "benchmarks.h"

namespace savory::bench {

void
BenchBalancer(Results& /*aResults*/)
{
}

} // namespace savory::bench
