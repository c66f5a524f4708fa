#include "benchmarks.h"

namespace savory::bench {

void
BenchMemory(Results& /*aResults*/)
{
}

} // namespace savory::bench
