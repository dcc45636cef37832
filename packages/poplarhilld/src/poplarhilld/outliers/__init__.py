"""Outlier detection: finds failing workers, ejects, probes and restores them."""

from poplarhilld.outliers.ejection import Ejection as Ejection
from poplarhilld.outliers.failures import EVIDENCE_THRESHOLD as EVIDENCE_THRESHOLD
from poplarhilld.outliers.failures import MIN_FAILED_JOBS as MIN_FAILED_JOBS
from poplarhilld.outliers.failures import OutlierDetector as OutlierDetector
