#include "benchmarks.h"

namespace savory::bench {

void
BenchRecord(Results& /*aResults*/)
{
}

} // namespace savory::bench
