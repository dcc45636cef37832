"""Bad workers: the evidence against them, and their way out of use and back."""

from poplarhilld.outliers.ejection import Ejection as Ejection
from poplarhilld.outliers.failures import FEWEST_JOBS as FEWEST_JOBS
from poplarhilld.outliers.failures import THRESHOLD as THRESHOLD
from poplarhilld.outliers.failures import Failures as Failures
