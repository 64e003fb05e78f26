__all__ = ['ttypes', 'constants', 'Quarantine']
