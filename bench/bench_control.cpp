#include "benchmarks.h"

namespace savory::bench {

void
BenchControl(Results& /*aResults*/)
{
}

} // namespace savory::bench
